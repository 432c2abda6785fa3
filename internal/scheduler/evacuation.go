package scheduler

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/call"
)

// evacuate commits the evacuation of an availability zone. The leader's loop obeys it from its next step on, since it
// decides each start by the state that it has applied.
func (s *Scheduler) evacuate(ctx context.Context, now time.Time, c call.Evacuate) call.Reply {
	e := batch.NewEvacuation(c.Zone(), c.Reason(), now)
	if err := e.Check(); err != nil {
		return call.NewReply(call.Invalid, err.Error())
	}
	return s.proposeEvacuation(ctx, batch.NewEvacuateZone(e))
}

// reopen commits the end of the evacuation of an availability zone.
func (s *Scheduler) reopen(ctx context.Context, c call.Reopen) call.Reply {
	return s.proposeEvacuation(ctx, batch.NewReopenZone(c.Zone()))
}

func (s *Scheduler) proposeEvacuation(ctx context.Context, c batch.Command) call.Reply {
	r, err := s.propose(ctx, c)
	if err != nil {
		return s.failureReply(err)
	}
	if r, ok := r.(batch.Rejected); ok {
		return call.NewReply(call.Refused, r.Reason())
	}
	return call.NewReply(call.OK, "")
}
