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
	arrivalBuffer = 1024
	retryLater    = time.Second
)

// globalRandom draws from math/rand/v2's shared source, which takes no lock.
type globalRandom struct{}

// IntN returns a number from 0 to n-1.
func (globalRandom) IntN(n int) int { return rand.IntN(n) }

// ticket is the right to send one request to one endpoint.
type ticket struct {
	endpoint fleet.Endpoint
	tenure   *tenure
}

// waiter is a request in the queue; the first of grant and abandon wins.
type waiter struct {
	tenure  *tenure
	urgency job.Urgency
	decided atomic.Bool
	granted chan ticket
}

// dispatcher is the controller of the queue; requests that need not wait pass it by.
type dispatcher struct {
	board    *Board
	waiting  atomic.Int64
	arrivals chan *waiter
	released chan struct{}
}

func newDispatcher(b *Board) *dispatcher {
	return &dispatcher{
		board: b, arrivals: make(chan *waiter, arrivalBuffer), released: make(chan struct{}, 1),
	}
}

// enter returns a ticket, waiting for at most wait, or the refusal.
func (d *dispatcher) enter(ctx context.Context, t *tenure, u job.Urgency, wait time.Duration) (ticket, request.Result) {
	if d.waiting.Load() == 0 {
		if got, ok := d.try(t); ok {
			return got, nil
		}
	}
	if !t.gate.EnterQueue(t.workspace.Limits().Queued()) {
		return ticket{}, request.NewRefused(outcome.QueueFull, "the queue of the workspace is full", retryLater)
	}
	defer t.gate.LeaveQueue()
	d.waiting.Add(1)
	defer d.waiting.Add(-1)
	w := &waiter{tenure: t, urgency: u, granted: make(chan ticket, 1)}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case d.arrivals <- w:
	default:
		return ticket{}, request.NewRefused(outcome.QueueFull, "the queue of the process is full", retryLater)
	}
	select {
	case got := <-w.granted:
		return got, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if !w.decided.CompareAndSwap(false, true) {
		return <-w.granted, nil
	}
	if refusal := ended(ctx); refusal != nil {
		return ticket{}, refusal
	}
	return ticket{}, d.noSlot()
}

// release gives a ticket back and wakes the queue.
func (d *dispatcher) release(t *ticket) {
	t.endpoint.Load().End()
	t.tenure.gate.Leave()
	d.wake()
}

// move exchanges the slot of a ticket for one of another endpoint.
func (d *dispatcher) move(t *ticket, next fleet.Endpoint) {
	next.Load().Begin()
	t.endpoint.Load().End()
	t.endpoint = next
	d.wake()
}

// run grants tickets to waiters as slots become free.
func (d *dispatcher) run(ctx context.Context) error {
	q := admission.NewQueue[*waiter]()
	for {
		_, fleetChanged := d.board.fleet.Watch()
		_, policyChanged := d.board.policy.Watch()
		select {
		case <-ctx.Done():
			return nil
		case w := <-d.arrivals:
			q.Push(w.tenure.workspace.Name(), w.urgency, w)
			d.collect(q)
		case <-d.released:
		case <-fleetChanged:
		case <-policyChanged:
		}
		q.Drop(func(w *waiter) bool { return w.decided.Load() })
		for d.grant(q) {
		}
	}
}

// collect takes what has arrived meanwhile, so that a burst is ordered once and the buffer is free for others.
func (d *dispatcher) collect(q *admission.Queue[*waiter]) {
	for range arrivalBuffer {
		select {
		case w := <-d.arrivals:
			q.Push(w.tenure.workspace.Name(), w.urgency, w)
		default:
			return
		}
	}
}

// grant serves one waiter and reports whether it did.
func (d *dispatcher) grant(q *admission.Queue[*waiter]) bool {
	var got ticket
	w, ok := q.Next(func(name string) (admitted bool) {
		t, ok := d.board.policy.Load().tenures[name]
		if !ok {
			return false
		}
		got, admitted = d.try(t)
		return admitted
	})
	if !ok {
		return false
	}
	if !w.decided.CompareAndSwap(false, true) {
		d.release(&got)
		return true
	}
	w.granted <- got
	return true
}

// try takes a place in the workspace's limit and a slot of an endpoint.
func (d *dispatcher) try(t *tenure) (got ticket, ok bool) {
	if !t.gate.Enter(t.workspace.Limits().InFlight()) {
		return ticket{}, false
	}
	e, ok := route.Choose(d.board.fleet.Load(), globalRandom{}, nil, time.Now())
	if !ok {
		t.gate.Leave()
		return ticket{}, false
	}
	e.Load().Begin()
	return ticket{endpoint: e, tenure: t}, true
}

func (d *dispatcher) noSlot() request.Result {
	if len(d.board.fleet.Load().Ready()) == 0 {
		return request.NewRefused(outcome.NoEndpoint, "no endpoint takes new work", retryLater)
	}
	return request.NewRefused(outcome.NoSlot, "no slot became free in time", retryLater)
}

// wake tells the queue of a free slot if anything waits.
func (d *dispatcher) wake() {
	if d.waiting.Load() == 0 {
		return
	}
	select {
	case d.released <- struct{}{}:
	default:
	}
}
