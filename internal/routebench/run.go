package routebench

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
)

// event is an action at a virtual time; seq orders events of equal times.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// events is a heap of events, earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), e[i].seq-e[j].seq) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event; it is for package heap only.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event; it is for package heap only.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// backend is a simulated endpoint with its agent; outstanding counts the requests that were sent and not yet answered.
type backend struct {
	fault                  Fault
	busySlots, outstanding int
}

// run is the simulation of one scenario under one policy; now is the virtual time since its start.
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

// Run simulates a scenario under a policy until every request is answered or refused. Equal seeds give equal requests
// under all policies.
func Run(s Scenario, p Policy, seed uint64) *Result {
	r := &run{
		scenario: s, policy: p, random: rand.New(rand.NewPCG(seed, 1)), backends: map[string]*backend{},
		result: newResult(s, p),
	}
	names := make([]string, s.endpoints)
	for i := range names {
		names[i] = fmt.Sprintf("w%04d", i)
		r.backends[names[i]] = &backend{fault: NoFault}
	}
	r.backends[names[0]].fault = s.fault
	for range s.hosts {
		list := make([]fleet.Endpoint, len(names))
		for i, n := range names {
			list[i] = fleet.NewEndpoint(fleet.NewWorker(n, "r", "z", "k"), n, slots, 64, 1)
		}
		r.hosts = append(r.hosts, newHost(r, fleet.NewSnapshot(1, list)))
	}
	// The requests use a random source of their own, so that all policies get the same requests.
	r.scheduleArrival(rand.New(rand.NewPCG(seed, 2)), 0)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.action()
	}
	return r.result
}

func (r *run) schedule(delay time.Duration, action func()) {
	r.seq++
	heap.Push(&r.events, event{at: r.now + delay, seq: r.seq, action: action})
}

func (r *run) scheduleArrival(random *rand.Rand, previous time.Duration) {
	q := r.scenario.next(previous, random)
	if q.at > r.scenario.length {
		return
	}
	r.schedule(q.at-r.now, func() {
		r.result.offered[q.workspace]++
		r.hosts[q.host].handle(q)
		r.scheduleArrival(random, q.at)
	})
}

// send sends a request to an agent, which refuses it if all slots are in use.
func (r *run) send(h *host, q *request, e fleet.Endpoint) {
	b := r.backends[e.Name()]
	b.outstanding++
	r.result.maxBeyondSlots = max(r.result.maxBeyondSlots, b.outstanding-slots)
	reply := func(o outcome) {
		total := int64(b.busySlots)
		r.schedule(hopLatency, func() {
			b.outstanding--
			h.recordLoad(e, total)
			h.handleAnswer(q, e, o)
		})
	}
	r.schedule(hopLatency, func() {
		service := q.service
		switch {
		case b.fault == Failing:
			reply(failed)
			return
		case b.busySlots >= slots:
			reply(agentFull)
			return
		case b.fault == Slow:
			service *= 10
		}
		b.busySlots++
		r.schedule(service, func() {
			b.busySlots--
			reply(served)
		})
	})
}
