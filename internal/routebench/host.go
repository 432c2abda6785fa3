package routebench

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/admission"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/route"
)

// The default settings of an entry host.
const (
	retrySharePercent = 10
	retryAttempts     = 3
	retryBasePause    = 25 * time.Millisecond
	queueLimit        = 100
	maxQueueWait      = 2 * time.Second
)

// epoch is the wall-clock time at the start of each run, for functions that take a time.Time.
var epoch = time.Unix(1_000_000, 0)

// host is a simulated entry host; it uses queue, limiters and retry budgets in the same way as package entry.
type host struct {
	run          *run
	fleet        *fleet.Snapshot
	queue        *admission.Queue[*request]
	limiters     [len(workspaceShares)]*admission.Limiter
	retryBudgets [len(workspaceShares)]*route.RetryBudget
	waiting      map[job.Urgency]int
	// nonEmptySince is when the queue of an urgency last became non-empty.
	nonEmptySince map[job.Urgency]time.Duration
}

func newHost(r *run, s *fleet.Snapshot) *host {
	h := &host{
		run: r, fleet: s, queue: admission.NewQueue[*request]().WithPatientInterval(r.policy.patientInterval),
		waiting: map[job.Urgency]int{}, nonEmptySince: map[job.Urgency]time.Duration{},
	}
	for i := range workspaceShares {
		h.limiters[i], h.retryBudgets[i] = admission.NewLimiter(), route.NewRetryBudget(retrySharePercent)
	}
	return h
}

// handle sends an arriving request at once if no request waits and an endpoint is free. Otherwise it queues the request,
// or refuses it if the queue of its workspace is full.
func (h *host) handle(q *request) {
	if h.waiting[job.Urgent]+h.waiting[job.Patient] == 0 && h.trySend(q) {
		return
	}
	if !h.limiters[q.workspace].TryEnqueue(queueLimit) {
		h.run.result.record(q, h.run.now, queueFull)
		return
	}
	if h.waiting[q.urgency] == 0 {
		h.nonEmptySince[q.urgency] = h.run.now
	}
	h.waiting[q.urgency]++
	h.queue.Push(workspaceNames[q.workspace], q.urgency, q)
	h.run.schedule(maxQueueWait, func() { h.refuse(q, queueTimeout) })
	if s, ok := h.run.policy.shedding.(ByDelay); ok {
		h.run.schedule(s.target, h.grantSlots)
	}
	h.grantSlots()
}

// dequeue marks a request as out of the queue and reports whether it was still waiting; grantSlots removes the entry.
func (h *host) dequeue(q *request) bool {
	if q.dequeued {
		return false
	}
	q.dequeued = true
	h.waiting[q.urgency]--
	h.limiters[q.workspace].Dequeue()
	return true
}

func (h *host) refuse(q *request, reason outcome) {
	if h.dequeue(q) {
		h.run.result.record(q, h.run.now, reason)
	}
}

// grantSlots sends waiting requests while an endpoint has a free slot.
func (h *host) grantSlots() {
	h.queue.RemoveIf(func(q *request) bool { return q.dequeued })
	h.shed()
	for {
		q, ok := h.queue.Next(func(string) bool { _, free := h.choose(nil); return free })
		if !ok {
			return
		}
		if q = h.selectRequest(q); h.dequeue(q) {
			h.trySend(q)
		}
	}
}

// trySend sends a request if an endpoint has a free slot, and reports whether it did.
func (h *host) trySend(q *request) bool {
	e, ok := h.choose(nil)
	if !ok {
		return false
	}
	h.retryBudgets[q.workspace].Deposit()
	e.Load().Begin()
	h.sendAttempt(q, e)
	return true
}

func (h *host) choose(excluded []string) (e fleet.Endpoint, ok bool) {
	return choose(h.run.policy.choice, h.fleet, h.run.random, excluded, epoch.Add(h.run.now))
}

func (h *host) sendAttempt(q *request, e fleet.Endpoint) {
	q.attempts++
	h.run.send(h, q, e)
}

// recordLoad records the number of running requests that an agent has reported, after the report lag of the scenario.
func (h *host) recordLoad(e fleet.Endpoint, total int64) {
	otherHosts := max(0, total-e.Load().OwnInFlight()+1)
	h.run.schedule(h.run.scenario.reportLag, func() { e.Load().RecordTotal(otherHosts + e.Load().OwnInFlight() - 1) })
}

func (h *host) handleAnswer(q *request, e fleet.Endpoint, o outcome) {
	v := map[outcome]route.Verdict{served: route.Healthy, failed: route.Faulty, agentFull: route.Full}[o]
	h.run.policy.quarantine.Record(h.fleet, e, v, epoch.Add(h.run.now))
	if o != agentFull || q.attempts >= retryAttempts || !h.mayRetry(q, v) {
		h.run.result.record(q, h.run.now, o)
		h.release(e)
		return
	}
	q.excluded = append(q.excluded, e.Name())
	h.run.schedule(time.Duration(h.run.random.Int64N(int64(retryBasePause<<q.attempts))), func() { h.retry(q, e) })
}

func (h *host) mayRetry(q *request, v route.Verdict) bool {
	if h.run.policy.budgetAllRetries {
		v = route.Faulty
	}
	return h.retryBudgets[q.workspace].TryWithdraw(v)
}

func (h *host) retry(q *request, previous fleet.Endpoint) {
	next, ok := h.choose(q.excluded)
	if !ok {
		h.run.result.record(q, h.run.now, agentFull)
		h.release(previous)
		return
	}
	h.run.result.retries++
	next.Load().Begin()
	h.release(previous)
	h.sendAttempt(q, next)
}

// release frees a slot and serves the queue in an event of its own, which runs after the load report of the answer is
// recorded if the scenario has no report lag.
func (h *host) release(e fleet.Endpoint) {
	e.Load().End()
	h.run.schedule(0, h.grantSlots)
}

// nonEmptyFor returns how long the queue of an urgency has been non-empty; 0 if it is empty.
func (h *host) nonEmptyFor(u job.Urgency) time.Duration {
	if h.waiting[u] == 0 {
		return 0
	}
	return h.run.now - h.nonEmptySince[u]
}

// shed refuses requests by their queueing delay if the policy is ByDelay. Urgent requests are served first, so their
// queue is empty more often and is shed last.
func (h *host) shed() {
	s, ok := h.run.policy.shedding.(ByDelay)
	if !ok {
		return
	}
	urgent, patient := h.nonEmptyFor(job.Urgent) > s.interval, h.nonEmptyFor(job.Patient) > s.interval
	h.queue.RemoveIf(func(q *request) bool {
		if (q.urgency == job.Urgent && urgent || q.urgency == job.Patient && patient) && h.run.now-q.at >= s.target {
			h.refuse(q, shed)
		}
		return q.dequeued
	})
}

// selectRequest returns the request to send when the queue returns q. This is q itself, but under overload with the
// NewestFirst policy it is the newest request of the same workspace and urgency, and q takes its position in the
// queue.
func (h *host) selectRequest(q *request) *request {
	s, ok := h.run.policy.shedding.(NewestFirst)
	if !ok || h.nonEmptyFor(q.urgency) <= s.interval {
		return q
	}
	newest := q
	h.queue.RemoveIf(func(o *request) bool {
		if o.workspace == q.workspace && o.urgency == q.urgency && o.at > newest.at {
			newest = o
		}
		return false
	})
	if newest != q {
		h.queue.RemoveIf(func(o *request) bool { return o == newest })
		h.queue.Push(workspaceNames[q.workspace], q.urgency, q)
	}
	return newest
}
