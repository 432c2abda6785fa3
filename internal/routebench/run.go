package routebench

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
)

// event is something that happens at a time; seq orders events of equal times.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), e[i].seq-e[j].seq) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event, for package heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event, for package heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// backend is an endpoint with its agent.
type backend struct {
	fault      Fault
	busy, sent int
}

// run is one scenario under one policy.
type run struct {
	scenario Scenario
	policy   Policy
	now      time.Duration
	seq      int
	events   events
	random   *rand.Rand
	hosts    []*host
	backends map[string]*backend
	result   *Result
}

// Run plays a scenario under a policy until every request has its answer or refusal.
func Run(s Scenario, p Policy, seed uint64) *Result {
	r := &run{
		scenario: s, policy: p, random: rand.New(rand.NewPCG(seed, 1)), backends: map[string]*backend{},
		result: newResult(s, p),
	}
	names := make([]string, s.endpoints)
	for i := range names {
		names[i] = fmt.Sprintf("w%04d", i)
		r.backends[names[i]] = &backend{fault: Sound}
	}
	r.backends[names[0]].fault = s.fault
	for range s.hosts {
		list := make([]fleet.Endpoint, len(names))
		for i, n := range names {
			list[i] = fleet.NewEndpoint(fleet.NewWorker(n, "r", "z", "k"), n, slots, 64, 1)
		}
		r.hosts = append(r.hosts, newHost(r, fleet.NewSnapshot(1, list)))
	}
	// The requests have a source of their own, so that every policy gets the same ones.
	r.arrive(rand.New(rand.NewPCG(seed, 2)), 0)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.result
}

func (r *run) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: r.now + d, seq: r.seq, do: do})
}

func (r *run) arrive(random *rand.Rand, at time.Duration) {
	c := r.scenario.next(at, random)
	if c.at > r.scenario.length {
		return
	}
	r.after(c.at-r.now, func() {
		r.result.offered[c.workspace]++
		r.hosts[c.host].enter(c)
		r.arrive(random, c.at)
	})
}

// send brings a request to an agent, which refuses it when all slots are taken.
func (r *run) send(h *host, c *call, e fleet.Endpoint) {
	b := r.backends[e.Name()]
	b.sent++
	r.result.herding = max(r.result.herding, b.sent-slots)
	reply := func(a end) {
		total := int64(b.busy)
		r.after(hop, func() {
			b.sent--
			h.report(e, total)
			h.answered(c, e, a)
		})
	}
	r.after(hop, func() {
		service := c.service
		switch {
		case b.fault == Failing:
			reply(failed)
			return
		case b.busy >= slots:
			reply(agentFull)
			return
		case b.fault == Slow:
			service *= 10
		}
		b.busy++
		r.after(service, func() {
			b.busy--
			reply(served)
		})
	})
}
