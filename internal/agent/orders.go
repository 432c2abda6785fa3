package agent

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// orderThreads bounds the calls to the worker at once.
const orderThreads = 8

// orders carries out the leader's orders and answers each.
func (a *Agent) orders(ctx context.Context, s *link.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(readTimeout))
	list, err := wire.ReadOrders(s)
	if err != nil {
		a.logger.Warn("orders refused", "peer", s.RemoteAddr().String(), "error", err)
		s.Cancel()
		return
	}
	replies := make([]task.Reply, len(list))
	var g errgroup.Group
	g.SetLimit(orderThreads)
	for i, o := range list {
		g.Go(func() error {
			replies[i] = a.order(ctx, o)
			return nil
		})
	}
	_ = g.Wait()
	_ = s.SetDeadline(time.Now().Add(writeTimeout))
	if err := wire.WriteReplies(s, replies); err != nil {
		a.logger.Warn("replies not delivered", "error", err)
	}
}

func (a *Agent) order(ctx context.Context, o task.Order) task.Reply {
	r, err := a.platform.carryOut(ctx, o)
	if err != nil {
		a.logger.Warn("order failed", "error", err)
		return task.NewReply(task.Unanswered, "the worker did not answer")
	}
	return r
}
