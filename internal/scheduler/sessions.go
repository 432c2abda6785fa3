package scheduler

import (
	"context"
	"sync/atomic"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// event is what the sessions of agents tell the leader's loop.
//
//sumtype:decl
type event interface{ event() }

// opened tells that an agent has a session.
type opened struct{ session *session }

// reported brings a report of an agent.
type reported struct {
	session *session
	report  run.Report
}

// closed tells that a session has ended.
type closed struct{ session *session }

func (opened) event()   {}
func (reported) event() {}
func (closed) event()   {}

// session is the stream of one agent.
type session struct {
	number uint64
	agent  string
	orders chan run.Envelope
	cancel context.CancelFunc
}

// orderBuffer holds more orders than a worker can take; a session that does not take them is closed.
const orderBuffer = 1024

var sessionNumber atomic.Uint64

// attend serves the stream of an agent while this host leads.
func (s *Scheduler) attend(ctx context.Context, st *link.Stream) {
	first, err := wire.ReadRunReport(st)
	if err != nil || !s.node.Status().Load().Ready(clock.Now()) {
		st.Refuse()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &session{number: sessionNumber.Add(1), agent: first.Agent(), orders: make(chan run.Envelope, orderBuffer), cancel: cancel}
	if !s.tell(ctx, opened{session: e}) || !s.tell(ctx, reported{session: e, report: first}) {
		return
	}
	defer s.tell(context.WithoutCancel(ctx), closed{session: e})
	go func() {
		defer cancel()
		for {
			r, err := wire.ReadRunReport(st)
			if err != nil || !s.tell(ctx, reported{session: e, report: r}) {
				return
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			st.Cancel()
			return
		case o := <-e.orders:
			if err := wire.WriteRunOrder(st, o); err != nil {
				s.logger.Debug("order not delivered", "agent", e.agent, "error", err)
				st.Cancel()
				return
			}
		}
	}
}

// tell passes an event to the leader's loop.
func (s *Scheduler) tell(ctx context.Context, e event) bool {
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}
