package runner

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/call"
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/wire"
)

const (
	// searchTimeout bounds one search for the leader.
	searchTimeout = 3 * time.Second
	// sessionRetryDelay is the delay before another session is opened.
	sessionRetryDelay = 100 * time.Millisecond
	// sessionOpenTimeout bounds the opening of a session's stream.
	sessionOpenTimeout = 2 * time.Second
	// orderTimeout is the time without an order after which the agent checks that the leader still leads. A leader
	// renews the lease of each worker once a second.
	orderTimeout = 1300 * time.Millisecond
)

// runSessions opens a session with the leader, and another one after each loss, until ctx ends.
func (r *Runner) runSessions(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.findLeader(ctx) {
			err := r.runSession(ctx, r.client.Leader())
			if ctx.Err() == nil {
				r.logger.Info("leader lost", "address", r.client.Leader(), "error", err)
			}
		}
		clock.Pause(ctx, sessionRetryDelay)
	}
	return ctx.Err()
}

// findLeader searches for the leader and reports whether one answered.
func (r *Runner) findLeader(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	return r.client.Call(ctx, "", call.Ping{}, 0).Outcome() == call.OK && r.client.Leader() != ""
}

// runSession sends reports to the leader at address and passes its orders to the loop until the stream ends.
func (r *Runner) runSession(ctx context.Context, address string) (err error) {
	openCtx, cancel := context.WithTimeout(ctx, sessionOpenTimeout)
	defer cancel()
	s, err := r.pool.Open(openCtx, address)
	if err != nil {
		return err
	}
	defer s.Cancel()
	if err = wire.WriteOpening(s, wire.NewOpening(wire.KindRuns, "")); err != nil {
		return err
	}
	first := run.NewReport(r.name)
	out, changed := r.outgoing.Watch()
	if out.worker.known {
		first = first.WithAnnouncement(out.worker.announcement).WithCrashes(out.crashes)
		first = r.speed.Load().withSpeed(clock.Now(), first)
	}
	first = withDeparture(first, out)
	if err = wire.WriteRunReport(s, first); err != nil {
		return err
	}
	r.logger.Info("leader found", "address", address)
	r.enqueue(ctx, sessionInput{})
	ended := make(chan error, 1)
	go func() {
		received := make(chan struct{}, 1)
		defer close(received)
		go r.watchOrders(ctx, address, s, received)
		for {
			e, err := wire.ReadRunOrder(s)
			if err != nil {
				ended <- err
				return
			}
			select {
			case received <- struct{}{}:
			default:
			}
			r.enqueue(ctx, orderInput{envelope: e})
		}
	}()
	return r.sendReports(ctx, out, changed, func(report run.Report) error {
		return wire.WriteRunReport(s, report)
	}, ended)
}

// withDeparture returns a copy of a report that says whether the worker has announced its termination and has ended.
func withDeparture(report run.Report, out outgoingState) run.Report {
	if out.worker.terminating {
		report = report.WithTerminating()
	}
	if out.exited {
		report = report.WithExited()
	}
	return report
}

// watchOrders cancels the session if no order is received for orderTimeout and the host at address no longer confirms
// that it leads. It returns when received is closed.
func (r *Runner) watchOrders(ctx context.Context, address string, s *link.Stream, received <-chan struct{}) {
	timer := time.NewTimer(orderTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case _, open := <-received:
			if !open {
				return
			}
		case <-timer.C:
			if !r.client.Confirm(ctx, address) {
				r.logger.Info("no orders, and the leader does not answer", "address", address)
				s.Cancel()
				return
			}
		}
		timer.Reset(orderTimeout)
	}
}

// sendReports sends the reports of the loop and the worker's announcements until a send fails or the session ends. The
// session has begun with sent, of which changed gives notice.
func (r *Runner) sendReports(
	ctx context.Context, sent outgoingState, changed <-chan struct{}, send func(run.Report) error, ended <-chan error,
) error {
	for {
		var next run.Report
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-ended:
			return err
		case next = <-r.reports:
		case <-changed:
			var out outgoingState
			out, changed = r.outgoing.Watch()
			next = run.NewReport(r.name).WithAnnouncement(out.worker.announcement)
			next = withDeparture(next, out)
			if out.crashCount != sent.crashCount {
				next = next.WithCrashes(out.crashes)
			}
			sent = out
		}
		if err := send(next); err != nil {
			return err
		}
	}
}
