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
	// sessionPause is waited before another session is opened.
	sessionPause = 100 * time.Millisecond
	// reportTimeout bounds the write of one report.
	reportTimeout = 2 * time.Second
	// orderSilence is how long no order may come until the agent makes sure that its leader still leads; a leader extends
	// the lease of each worker once a second.
	orderSilence = 1300 * time.Millisecond
)

// keepSession keeps a session with the leader until ctx ends.
func (r *Runner) keepSession(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.findLeader(ctx) {
			err := r.session(ctx, r.client.Leader())
			if ctx.Err() == nil {
				r.logger.Info("leader lost", "address", r.client.Leader(), "error", err)
			}
		}
		clock.Pause(ctx, sessionPause)
	}
	return ctx.Err()
}

func (r *Runner) findLeader(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	return r.client.Call(ctx, "", call.Ping{}, 0).Outcome() == call.OK && r.client.Leader() != ""
}

// session reports to the leader at address and takes its orders until the stream ends.
func (r *Runner) session(ctx context.Context, address string) (err error) {
	opening, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	s, err := r.pool.Open(opening, address)
	if err != nil {
		return err
	}
	defer s.Cancel()
	if err = wire.WriteOpening(s, wire.NewOpening(wire.KindRuns, "")); err != nil {
		return err
	}
	first := run.NewReport(r.name)
	if a := r.announced.Load(); a.known {
		first = first.WithAnnouncement(a.announcement)
	}
	if err = wire.WriteRunReport(s, first); err != nil {
		return err
	}
	r.logger.Info("leader found", "address", address)
	r.tell(ctx, sessionInput{})
	ended := make(chan error, 1)
	go func() {
		heard := make(chan struct{}, 1)
		defer close(heard)
		go r.watchSilence(ctx, address, s, heard)
		for {
			e, err := wire.ReadRunOrder(s)
			if err != nil {
				ended <- err
				return
			}
			select {
			case heard <- struct{}{}:
			default:
			}
			r.tell(ctx, orderInput{envelope: e})
		}
	}()
	return r.report(ctx, func(report run.Report) error {
		return wire.WriteRunReport(s, report)
	}, ended)
}

// watchSilence gives up a session whose leader falls silent and does not lead any more, until heard is closed.
func (r *Runner) watchSilence(ctx context.Context, address string, s *link.Stream, heard <-chan struct{}) {
	timer := time.NewTimer(orderSilence)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case _, open := <-heard:
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
		timer.Reset(orderSilence)
	}
}

// report sends what the loop reports and what the worker announces.
func (r *Runner) report(ctx context.Context, send func(run.Report) error, ended <-chan error) error {
	_, changed := r.announced.Watch()
	for {
		var next run.Report
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-ended:
			return err
		case next = <-r.reports:
		case <-changed:
			var a announced
			a, changed = r.announced.Watch()
			next = run.NewReport(r.name).WithAnnouncement(a.announcement)
			if a.gone {
				next = next.WithTerminating()
			}
		}
		if err := send(next); err != nil {
			return err
		}
	}
}
