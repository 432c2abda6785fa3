package control

import (
	"context"

	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

// fencedOrder is an order and the fencing token of its reservation.
type fencedOrder struct {
	token lease.FencingToken
	order task.Order
}

// queueKey identifies a queue of orders for one worker. Stops have a queue of their own,
// so that a worker that is slow to start tasks still receives the orders to stop others.
type queueKey struct {
	worker string
	stops  bool
}

// batch holds the orders that are sent to one worker on one stream, and the reply to each.
type batch struct {
	queueKey
	orders  []fencedOrder
	replies []task.Reply
}

// outbox collects the orders of a pass by worker; the gang driver's goroutine owns it. Each queue has at most
// one batch in flight, so that a slow worker delays no other.
type outbox struct {
	deliver  func(ctx context.Context, b batch) []task.Reply
	waiting  map[queueKey]map[task.ID]fencedOrder
	inFlight map[queueKey]bool
	finished chan batch
}

func newOutbox(deliver func(ctx context.Context, b batch) []task.Reply) *outbox {
	return &outbox{
		deliver: deliver, waiting: map[queueKey]map[task.ID]fencedOrder{},
		inFlight: map[queueKey]bool{}, finished: make(chan batch),
	}
}

// add queues an order; it replaces a queued order for the same member. A stop also replaces one in the other queue, so that
// the order to start is not sent after it.
func (o *outbox) add(worker string, token lease.FencingToken, order task.Order) {
	_, isStop := order.(task.Stop)
	k := queueKey{worker: worker, stops: isStop}
	if o.waiting[k] == nil {
		o.waiting[k] = map[task.ID]fencedOrder{}
	}
	o.waiting[k][task.IDOf(order)] = fencedOrder{token: token, order: order}
	others := o.waiting[queueKey{worker: worker}]
	if isStop && others[task.IDOf(order)].token == token {
		delete(others, task.IDOf(order))
	}
}

// flush sends the orders of each queue that has no batch in flight.
func (o *outbox) flush(ctx context.Context) {
	for k := range o.waiting {
		o.send(ctx, k)
	}
}

// finish marks a batch as answered and sends the orders that were queued meanwhile.
func (o *outbox) finish(ctx context.Context, b batch) {
	delete(o.inFlight, b.queueKey)
	o.send(ctx, b.queueKey)
}

func (o *outbox) send(ctx context.Context, k queueKey) {
	if o.inFlight[k] || len(o.waiting[k]) == 0 {
		return
	}
	b := batch{queueKey: k}
	for _, f := range o.waiting[k] {
		b.orders = append(b.orders, f)
	}
	delete(o.waiting, k)
	o.inFlight[k] = true
	go func() {
		b.replies = o.deliver(ctx, b)
		select {
		case o.finished <- b:
		case <-ctx.Done():
		}
	}()
}
