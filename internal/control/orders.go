package control

import (
	"context"
	"errors"
	"time"

	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// orderTimeout is longer than the time for which an agent waits for its worker.
const orderTimeout = 4 * time.Second

// sendOrders sends a batch of orders to the agent of its worker and returns one reply for each order, Unanswered where
// the exchange fails.
func (c *Control) sendOrders(ctx context.Context, b batch) (replies []task.Reply) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	message := "the worker is not in the roster"
	if e, ok := c.board.roster.Load().snapshot.Find(b.worker); ok {
		replies, err := c.exchangeOrders(ctx, e.Address(), b)
		if err == nil {
			return replies
		}
		message = err.Error()
	}
	c.logger.Warn("orders not answered", "worker", b.worker, "orders", len(b.orders), "error", message)
	for range b.orders {
		replies = append(replies, task.NewReply(task.Unanswered, message))
	}
	return replies
}

func (c *Control) exchangeOrders(ctx context.Context, address string, b batch) (replies []task.Reply, err error) {
	s, err := c.agentPool.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := s.CancelOnDone(ctx)
	defer stop()
	defer s.Cancel()
	orders := make([]task.Order, len(b.orders))
	for i, o := range b.orders {
		orders[i] = o.order
	}
	// An agent that has replied stops reading, so replies may exist although the write failed.
	writeErr := wire.WriteOpening(s, wire.NewOpening(wire.KindOrders, ""))
	if writeErr == nil {
		writeErr = wire.WriteOrders(s, orders)
	}
	s.CloseWrite()
	if replies, err = wire.ReadReplies(s, len(orders)); err != nil {
		return nil, errors.Join(err, writeErr)
	}
	return replies, nil
}
