package control

import (
	"context"

	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

// addressed is an order and the fence of the reservation that it belongs to.
type addressed struct {
	fence lease.FencingToken
	order task.Order
}

// line is where the orders for one worker wait; stops have a line of their own,
// so that a worker that is slow to start tasks is still told to stop others.
type line struct {
	worker string
	stops  bool
}

// batch is a number of orders for one worker on one stream, and what became of them.
type batch struct {
	line
	orders  []addressed
	replies []task.Reply
}

// outbox gathers the orders of a pass by worker; the gang driver's goroutine owns it. Each line has
// one batch under way, so that a slow worker delays nobody else.
type outbox struct {
	give    func(ctx context.Context, b batch) []task.Reply
	waiting map[line]map[task.ID]addressed
	busy    map[line]bool
	replies chan batch
}

func newOutbox(give func(ctx context.Context, b batch) []task.Reply) *outbox {
	return &outbox{
		give: give, waiting: map[line]map[task.ID]addressed{}, busy: map[line]bool{}, replies: make(chan batch),
	}
}

// add queues an order; it replaces one for the same member that still waits.
func (o *outbox) add(worker string, fence lease.FencingToken, order task.Order) {
	_, stop := order.(task.Stop)
	l := line{worker: worker, stops: stop}
	if o.waiting[l] == nil {
		o.waiting[l] = map[task.ID]addressed{}
	}
	o.waiting[l][task.IDOf(order)] = addressed{fence: fence, order: order}
}

// flush sends what waits on each line that has nothing under way.
func (o *outbox) flush(ctx context.Context) {
	for l := range o.waiting {
		o.send(ctx, l)
	}
}

// done takes the end of a batch and sends what waited behind it.
func (o *outbox) done(ctx context.Context, b batch) {
	delete(o.busy, b.line)
	o.send(ctx, b.line)
}

func (o *outbox) send(ctx context.Context, l line) {
	if o.busy[l] || len(o.waiting[l]) == 0 {
		return
	}
	b := batch{line: l}
	for _, a := range o.waiting[l] {
		b.orders = append(b.orders, a)
	}
	delete(o.waiting, l)
	o.busy[l] = true
	go func() {
		b.replies = o.give(ctx, b)
		select {
		case o.replies <- b:
		case <-ctx.Done():
		}
	}()
}
