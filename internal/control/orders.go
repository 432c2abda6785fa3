package control

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// orderTimeout is longer than an agent waits for its worker.
const orderTimeout = 4 * time.Second

// order gives one order to the agent of a worker.
func (c *Control) order(ctx context.Context, worker string, o task.Order) task.Reply {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := c.exchange(ctx, worker, o)
	if err != nil {
		c.logger.Warn("order not answered", "worker", worker, "error", err)
		return task.NewReply(task.Unanswered, err.Error())
	}
	return r
}

func (c *Control) exchange(ctx context.Context, worker string, o task.Order) (r task.Reply, err error) {
	e, ok := c.board.roster.Load().snapshot.Find(worker)
	if !ok {
		return task.NewReply(task.Unanswered, "the worker is not in the roster"), nil
	}
	s, err := c.agents.Open(ctx, e.Address())
	if err != nil {
		return task.Reply{}, err
	}
	stop := s.Watch(ctx)
	defer stop()
	defer s.Cancel()
	if err = wire.WriteOpening(s, wire.NewOpening(wire.KindOrders, "")); err != nil {
		return task.Reply{}, err
	}
	if err = wire.WriteOrders(s, []task.Order{o}); err != nil {
		return task.Reply{}, err
	}
	if err = s.CloseWrite(); err != nil {
		return task.Reply{}, err
	}
	replies, err := wire.ReadReplies(s, 1)
	if err != nil {
		return task.Reply{}, err
	}
	return replies[0], nil
}
