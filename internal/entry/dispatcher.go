package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"rosemarywind.example/rosemarywind/internal/admission"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/route"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const (
	// arrivalBuffer is the number of requests that may wait for the dispatcher to queue them.
	arrivalBuffer = 1024
	// retryLater is the pause that refused callers are asked to make.
	retryLater = time.Second
)

// globalRandom is a route.Random that uses the global source of math/rand/v2, which takes no lock.
type globalRandom struct{}

// IntN returns a random number in [0, n).
func (globalRandom) IntN(n int) int { return rand.IntN(n) }

// permit is the right to send one request to one endpoint. It holds one place in the workspace's limit and one slot of
// the endpoint until it is released.
type permit struct {
	endpoint fleet.Endpoint
	state    *workspaceState
}

// waiter is a request in the queue. Whoever sets decided first, the dispatcher that grants a permit or the request that
// stops waiting, determines the outcome.
type waiter struct {
	state   *workspaceState
	urgency job.Urgency
	decided atomic.Bool
	granted chan permit
}

// dispatcher is the controller that grants permits to queued requests. Requests that need not wait take a permit
// without it.
type dispatcher struct {
	board    *Board
	waiting  atomic.Int64 // requests that are queued or about to be
	arrivals chan *waiter
	released chan struct{} // signals that a permit was released while requests wait
}

func newDispatcher(b *Board) *dispatcher {
	return &dispatcher{
		board: b, arrivals: make(chan *waiter, arrivalBuffer), released: make(chan struct{}, 1),
	}
}

// acquire returns a permit, waiting for at most wait, or the refusal of the request.
func (d *dispatcher) acquire(
	ctx context.Context, s *workspaceState, u job.Urgency, wait time.Duration,
) (permit, request.Result) {
	if d.waiting.Load() == 0 {
		if p, ok := d.tryAcquire(s); ok {
			return p, nil
		}
	}
	if !s.limiter.TryEnqueue(s.workspace.Limits().Queued()) {
		return permit{}, request.NewRefused(outcome.QueueFull, "the queue of the workspace is full", retryLater)
	}
	defer s.limiter.Dequeue()
	d.waiting.Add(1)
	defer d.waiting.Add(-1)
	w := &waiter{state: s, urgency: u, granted: make(chan permit, 1)}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case d.arrivals <- w:
	default:
		return permit{}, request.NewRefused(outcome.QueueFull, "the queue of the process is full", retryLater)
	}
	select {
	case p := <-w.granted:
		return p, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if !w.decided.CompareAndSwap(false, true) {
		return <-w.granted, nil
	}
	if refusal := contextRefusal(ctx); refusal != nil {
		return permit{}, refusal
	}
	return permit{}, d.noSlotRefusal()
}

// release returns a permit, so that the next waiter can be granted one.
func (d *dispatcher) release(p *permit) {
	p.endpoint.Load().End()
	p.state.limiter.Release()
	d.notifyReleased()
}

// reassign moves a permit to another endpoint.
func (d *dispatcher) reassign(p *permit, next fleet.Endpoint) {
	next.Load().Begin()
	p.endpoint.Load().End()
	p.endpoint = next
	d.notifyReleased()
}

// run grants permits to waiters as slots become free, until ctx ends.
func (d *dispatcher) run(ctx context.Context) error {
	q := admission.NewQueue[*waiter]()
	for {
		_, fleetChanged := d.board.fleet.Watch()
		_, policyChanged := d.board.policy.Watch()
		select {
		case <-ctx.Done():
			return nil
		case w := <-d.arrivals:
			q.Push(w.state.workspace.Name(), w.urgency, w)
			d.drainArrivals(q)
		case <-d.released:
		case <-fleetChanged:
		case <-policyChanged:
		}
		q.RemoveIf(func(w *waiter) bool { return w.decided.Load() })
		for d.grantNext(q) {
		}
	}
}

// drainArrivals queues the requests that have arrived in the meantime, so that a burst is ordered as a whole and the
// buffer has space for others.
func (d *dispatcher) drainArrivals(q *admission.Queue[*waiter]) {
	for range arrivalBuffer {
		select {
		case w := <-d.arrivals:
			q.Push(w.state.workspace.Name(), w.urgency, w)
		default:
			return
		}
	}
}

// grantNext grants a permit to the next waiter that can have one and reports whether it found one.
func (d *dispatcher) grantNext(q *admission.Queue[*waiter]) bool {
	var p permit
	w, ok := q.Next(func(name string) (admitted bool) {
		s, ok := d.board.policy.Load().workspaces[name]
		if !ok {
			return false
		}
		p, admitted = d.tryAcquire(s)
		return admitted
	})
	if !ok {
		return false
	}
	if !w.decided.CompareAndSwap(false, true) {
		d.release(&p)
		return true
	}
	w.granted <- p
	return true
}

// tryAcquire returns a permit if the workspace is below its limit and an endpoint has a free slot.
func (d *dispatcher) tryAcquire(s *workspaceState) (p permit, ok bool) {
	if !s.limiter.TryAcquire(s.workspace.Limits().InFlight()) {
		return permit{}, false
	}
	e, ok := route.Choose(d.board.fleet.Load(), globalRandom{}, nil, time.Now())
	if !ok {
		s.limiter.Release()
		return permit{}, false
	}
	e.Load().Begin()
	return permit{endpoint: e, state: s}, true
}

// noSlotRefusal returns the refusal of a request that waited in the queue for the maximum time.
func (d *dispatcher) noSlotRefusal() request.Result {
	if len(d.board.fleet.Load().Ready()) == 0 {
		return request.NewRefused(outcome.NoEndpoint, "no endpoint takes new work", retryLater)
	}
	return request.NewRefused(outcome.NoSlot, "no slot became free in time", retryLater)
}

// notifyReleased wakes run if requests are waiting.
func (d *dispatcher) notifyReleased() {
	if d.waiting.Load() == 0 {
		return
	}
	select {
	case d.released <- struct{}{}:
	default:
	}
}
