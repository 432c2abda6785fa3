package routebench

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/admission"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/route"
)

// The default settings of an entry.
const (
	retryShare    = 10
	retryAttempts = 3
	retryPause    = 25 * time.Millisecond
	queueLimit    = 100
	queueWait     = 2 * time.Second
)

// epoch is the time at which each run begins.
var epoch = time.Unix(1_000_000, 0)

// host is an entry host; it does with queue, gates and budgets what package entry does.
type host struct {
	run     *run
	fleet   *fleet.Snapshot
	queue   *admission.Queue[*call]
	gates   [len(shares)]*admission.Limiter
	budgets [len(shares)]*route.RetryBudget
	waiting map[job.Urgency]int
	// standing is when the queue of an urgency was last empty.
	standing map[job.Urgency]time.Duration
}

func newHost(r *run, s *fleet.Snapshot) *host {
	h := &host{
		run: r, fleet: s, queue: admission.NewQueue[*call]().WithPatientInterval(r.policy.turn),
		waiting: map[job.Urgency]int{}, standing: map[job.Urgency]time.Duration{},
	}
	for i := range shares {
		h.gates[i], h.budgets[i] = admission.NewLimiter(), route.NewRetryBudget(retryShare)
	}
	return h
}

func (h *host) enter(c *call) {
	if h.waiting[job.Urgent]+h.waiting[job.Patient] == 0 && h.try(c) {
		return
	}
	if !h.gates[c.workspace].TryEnqueue(queueLimit) {
		h.run.result.end(c, h.run.now, queueFull)
		return
	}
	if h.waiting[c.urgency] == 0 {
		h.standing[c.urgency] = h.run.now
	}
	h.waiting[c.urgency]++
	h.queue.Push(workspaces[c.workspace], c.urgency, c)
	h.run.after(queueWait, func() { h.drop(c, waited) })
	if s, ok := h.run.policy.shedding.(ByDelay); ok {
		h.run.after(s.target, h.serve)
	}
	h.serve()
}

// leave takes a request out of the queue and reports whether it still waited.
func (h *host) leave(c *call) bool {
	if c.decided {
		return false
	}
	c.decided = true
	h.waiting[c.urgency]--
	h.gates[c.workspace].Dequeue()
	return true
}

func (h *host) drop(c *call, why end) {
	if h.leave(c) {
		h.run.result.end(c, h.run.now, why)
	}
}

// serve grants slots to waiting requests.
func (h *host) serve() {
	h.queue.RemoveIf(func(c *call) bool { return c.decided })
	h.shed()
	for {
		c, ok := h.queue.Next(func(string) bool { _, free := h.choose(nil); return free })
		if !ok {
			return
		}
		if c = h.instead(c); h.leave(c) {
			h.try(c)
		}
	}
}

// try sends a request if an endpoint has a free slot.
func (h *host) try(c *call) bool {
	e, ok := h.choose(nil)
	if !ok {
		return false
	}
	h.budgets[c.workspace].Deposit()
	e.Load().Begin()
	h.attempt(c, e)
	return true
}

func (h *host) choose(excluded []string) (e fleet.Endpoint, ok bool) {
	return choose(h.run.policy.choice, h.fleet, h.run.random, excluded, epoch.Add(h.run.now))
}

func (h *host) attempt(c *call, e fleet.Endpoint) {
	c.attempts++
	h.run.send(h, c, e)
}

// report takes the count that an agent gave, after the lag of the scenario.
func (h *host) report(e fleet.Endpoint, total int64) {
	others := max(0, total-e.Load().OwnInFlight()+1)
	h.run.after(h.run.scenario.lag, func() { e.Load().RecordTotal(others + e.Load().OwnInFlight() - 1) })
}

func (h *host) answered(c *call, e fleet.Endpoint, a end) {
	v := map[end]route.Verdict{served: route.Healthy, failed: route.Faulty, agentFull: route.Full}[a]
	h.run.policy.health.Record(h.fleet, e, v, epoch.Add(h.run.now))
	if a != agentFull || c.attempts >= retryAttempts || !h.mayRetry(c, v) {
		h.run.result.end(c, h.run.now, a)
		h.release(e)
		return
	}
	c.excluded = append(c.excluded, e.Name())
	h.run.after(time.Duration(h.run.random.Int64N(int64(retryPause<<c.attempts))), func() { h.retry(c, e) })
}

func (h *host) mayRetry(c *call, v route.Verdict) bool {
	if h.run.policy.budgeted {
		v = route.Faulty
	}
	return h.budgets[c.workspace].TryWithdraw(v)
}

func (h *host) retry(c *call, old fleet.Endpoint) {
	next, ok := h.choose(c.excluded)
	if !ok {
		h.run.result.end(c, h.run.now, agentFull)
		h.release(old)
		return
	}
	h.run.result.retries++
	next.Load().Begin()
	h.release(old)
	h.attempt(c, next)
}

// release frees a slot and wakes the queue in an event of its own, after the load figure of the answer is taken.
func (h *host) release(e fleet.Endpoint) {
	e.Load().End()
	h.run.after(0, h.serve)
}

// standsFor returns how long the queue of an urgency has not been empty.
func (h *host) standsFor(u job.Urgency) time.Duration {
	if h.waiting[u] == 0 {
		return 0
	}
	return h.run.now - h.standing[u]
}

// shed drops requests by their delay; urgent ones are served first, so their queue is empty more often and sheds last.
func (h *host) shed() {
	s, ok := h.run.policy.shedding.(ByDelay)
	if !ok {
		return
	}
	urgent, patient := h.standsFor(job.Urgent) > s.interval, h.standsFor(job.Patient) > s.interval
	h.queue.RemoveIf(func(c *call) bool {
		if (c.urgency == job.Urgent && urgent || c.urgency == job.Patient && patient) && h.run.now-c.at >= s.target {
			h.drop(c, shed)
		}
		return c.decided
	})
}

// instead returns the request to serve when the queue names c: under overload the newest one like it, whose place c takes.
func (h *host) instead(c *call) *call {
	s, ok := h.run.policy.shedding.(NewestFirst)
	if !ok || h.standsFor(c.urgency) <= s.interval {
		return c
	}
	newest := c
	h.queue.RemoveIf(func(o *call) bool {
		if o.workspace == c.workspace && o.urgency == c.urgency && o.at > newest.at {
			newest = o
		}
		return false
	})
	if newest != c {
		h.queue.RemoveIf(func(o *call) bool { return o == newest })
		h.queue.Push(workspaces[c.workspace], c.urgency, c)
	}
	return newest
}
