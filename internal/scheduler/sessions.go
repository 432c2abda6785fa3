package scheduler

import (
	"context"
	"sync/atomic"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// event is a message to the leader's loop from a session or a background request.
//
//sumtype:decl
type event interface{ event() }

// sessionOpened is the event that an agent has opened a session.
type sessionOpened struct{ session *session }

// reportReceived is the event that an agent has sent a report.
type reportReceived struct {
	session *session
	report  run.Report
}

// sessionClosed is the event that a session has ended.
type sessionClosed struct{ session *session }

func (sessionOpened) event()  {}
func (reportReceived) event() {}
func (sessionClosed) event()  {}

// session is the stream of one agent.
type session struct {
	number uint64
	agent  string
	orders chan run.Envelope
	cancel context.CancelFunc
}

// orderBuffer is the number of orders that may wait for an agent. A step leaves further ones to the next.
const orderBuffer = 1024

var lastSession atomic.Uint64

// serveAgent serves the stream of an agent while this host is the leader.
func (s *Scheduler) serveAgent(ctx context.Context, st *link.Stream) {
	first, err := wire.ReadRunReport(st)
	if err != nil || !s.node.Status().Load().Ready(clock.Now()) {
		st.Refuse()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &session{number: lastSession.Add(1), agent: first.Agent(), orders: make(chan run.Envelope, orderBuffer), cancel: cancel}
	if !s.sendEvent(ctx, sessionOpened{session: e}) || !s.sendEvent(ctx, reportReceived{session: e, report: first}) {
		return
	}
	defer s.sendEvent(context.WithoutCancel(ctx), sessionClosed{session: e})
	go func() {
		defer cancel()
		for {
			r, err := wire.ReadRunReport(st)
			if err != nil || !s.sendEvent(ctx, reportReceived{session: e, report: r}) {
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

// sendEvent sends an event to the leader's loop; it reports false if ctx ends first.
func (s *Scheduler) sendEvent(ctx context.Context, e event) bool {
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}
