package agent

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// maxConcurrentOrders bounds the concurrent calls to the worker for one list of orders.
const maxConcurrentOrders = 8

// serveOrders carries out a list of the leader's orders and replies to all of them.
func (a *Agent) serveOrders(ctx context.Context, s *link.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(readTimeout))
	list, err := wire.ReadOrders(s)
	if err != nil {
		a.logger.Warn("orders refused", "peer", s.RemoteAddr().String(), "error", err)
		s.Cancel()
		return
	}
	replies := make([]task.Reply, len(list))
	var g errgroup.Group
	g.SetLimit(maxConcurrentOrders)
	for i, o := range list {
		g.Go(func() error {
			replies[i] = a.carryOut(ctx, o)
			return nil
		})
	}
	_ = g.Wait()
	_ = s.SetDeadline(time.Now().Add(writeTimeout))
	if err := wire.WriteReplies(s, replies); err != nil {
		a.logger.Warn("replies not delivered", "error", err)
	}
}

// carryOut sends one order to the worker; the reply is Unanswered if its effect is unknown.
func (a *Agent) carryOut(ctx context.Context, o task.Order) task.Reply {
	r, err := a.platform.carryOut(ctx, o)
	if err != nil {
		a.logger.Warn("order failed", "error", err)
		return task.NewReply(task.Unanswered, "the worker did not answer")
	}
	return r
}
