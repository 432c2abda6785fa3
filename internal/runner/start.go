package runner

import (
	"context"
	"errors"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/run"
)

// pendingStart is a start order that the worker has not answered.
type pendingStart struct {
	order  run.OrderID
	cancel context.CancelFunc
}

// start starts a run in the background, until the leader orders a stop or the start again.
func (l *loop) start(ctx context.Context, now time.Time, o run.Start) {
	a := l.announced.Load()
	if l.incarnation != o.Incarnation() {
		// No answer of this incarnation: a late call for the earlier one may still begin the run here.
		l.reportRefusal(now, o.ID(), o.OrderID(), anotherIncarnation)
		return
	}
	if !l.answers.expect(now, o.ID(), o.OrderID()) {
		return
	}
	pending, refusal := l.cancelStart(o.ID()), l.startRefusal(now, a, o)
	if refusal != "" && !pending {
		l.handleStarted(startedInput{id: o.ID(), order: o.OrderID(), incarnation: l.incarnation, refusal: refusal, at: now})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	l.starts[o.ID()] = pendingStart{order: o.OrderID(), cancel: cancel}
	fencingToken, leaseClock := l.fencingToken, l.clock
	go func() {
		defer cancel()
		if refusal != "" {
			l.refuseStopped(ctx, o, fencingToken, refusal)
			return
		}
		l.callStart(ctx, o, fencingToken, leaseClock)
	}()
}

// startRefusal returns why the agent does not pass a start to the worker, or an empty string.
func (l *loop) startRefusal(now time.Time, a workerState, o run.Start) string {
	switch {
	case a.announcement.Draining() || a.terminating:
		return draining
	case l.clock.ended(now, o.Lease()):
		return tooLate
	}
	return ""
}

// cancelOrder gives up the pending start of a run unless it is that of another order.
func (l *loop) cancelOrder(id run.ID, order run.OrderID) {
	if l.starts[id].order == order {
		l.cancelStart(id)
	}
}

// refuseStopped refuses a start that the agent does not pass to the worker after it has stopped the run, since the call for
// an earlier order to start it may be under way.
func (l *loop) refuseStopped(ctx context.Context, o run.Start, fencingToken uint64, reason string) {
	if l.ensureStopped(ctx, o.Incarnation(), fencingToken, o.ID(), o.OrderID()) {
		l.enqueue(ctx, startedInput{
			id: o.ID(), order: o.OrderID(), incarnation: o.Incarnation(), refusal: reason, at: clock.Now(),
		})
	}
}

// cancelStart gives up the pending start of a run, and reports whether there was one.
func (l *loop) cancelStart(id run.ID) bool {
	s, pending := l.starts[id]
	if pending {
		s.cancel()
		delete(l.starts, id)
	}
	return pending
}

// callStart calls the worker until it answers, until it accepts no connection, until the lease in the order has ended, or
// until ctx ends.
func (l *loop) callStart(ctx context.Context, o run.Start, fencingToken uint64, c workerClock) {
	for {
		ended, ok := begin(ctx, l.starting)
		if !ok {
			return
		}
		if c.ended(clock.Now(), o.Lease()) {
			ended()
			l.enqueue(ctx, expiredInput{id: o.ID(), order: o.OrderID()})
			return
		}
		attempt, done := context.WithTimeout(ctx, callTimeout)
		sentAt := clock.Now()
		err := l.worker.Start(attempt, fencingToken, o)
		done()
		ended()
		var refused *RefusedError
		switch {
		case err == nil:
			l.enqueue(ctx, startedInput{
				id: o.ID(), order: o.OrderID(), incarnation: o.Incarnation(), sentAt: sentAt, at: clock.Now(),
			})
			return
		case errors.As(err, &refused):
			if !refused.Final() && !l.ensureStopped(ctx, o.Incarnation(), fencingToken, o.ID(), o.OrderID()) {
				return
			}
			l.enqueue(ctx, startedInput{
				id: o.ID(), order: o.OrderID(), incarnation: o.Incarnation(), refusal: refused.Reason(),
				sentAt: sentAt, at: clock.Now(),
			})
			return
		}
		l.logger.Info("start not answered", "task", o.ID().Task().String(), "run", o.ID().Run(), "order", o.OrderID().String(),
			"error", err)
		l.enqueue(ctx, unansweredInput{
			id: o.ID(), order: o.OrderID(), incarnation: o.Incarnation(), err: err, sentAt: sentAt, at: clock.Now(),
		})
		// The worker's next incarnation may have the same id and would carry out the start of a run that this one has
		// crashed under.
		unreachable := errors.Is(err, ErrNoConnection) && !isTimeout(err)
		if unreachable || !clock.Pause(ctx, callRetryDelay) {
			return
		}
	}
}

// handleStarted records the answer to a start and reports a refusal to the leader.
func (l *loop) handleStarted(in startedInput) {
	if in.incarnation != l.incarnation {
		return
	}
	l.cancelOrder(in.id, in.order)
	if !in.sentAt.IsZero() {
		l.watch.recordAnswer(in.at)
	}
	if in.refusal == "" {
		l.logger.Info("start answered", "task", in.id.Task().String(), "run", in.id.Run(), "order", in.order.String())
		l.answers.recordBegun(in.id, in.order, in.at)
		l.watch.recordBegun(in.id, in.sentAt)
		return
	}
	l.answers.recordEnded(in.id, in.order, in.at)
	l.reportRefusal(in.at, in.id, in.order, in.refusal)
}

// reportRefusal tells the leader that an order to start a run was refused.
func (l *loop) reportRefusal(now time.Time, id run.ID, order run.OrderID, reason string) {
	l.logger.Info("start refused", "task", id.Task().String(), "run", id.Run(), "order", order.String(), "reason", reason)
	l.nextList = now
	l.listNow = true
	l.send(run.NewReport(l.name).WithRefused([]run.Refusal{run.NewRefusal(id, order, reason)}))
}

// handleUnanswered records a start call without an answer. After one that found no worker the start is not repeated;
// the leader decides about the run.
func (l *loop) handleUnanswered(in unansweredInput) {
	l.watch.recordSilence(in.at, in.err)
	if !errors.Is(in.err, ErrNoConnection) {
		l.watch.recordBegun(in.id, in.sentAt)
		return
	}
	l.reportUnreachable(in.err)
	if !isTimeout(in.err) {
		l.cancelOrder(in.id, in.order)
	}
}

// reportUnreachable tells the leader once that the worker accepts no connection, so that it places nothing there, and that
// the worker has ended if that is known from the error of the call.
func (l *loop) reportUnreachable(err error) {
	if !isTimeout(err) {
		l.observeRefusal()
	}
	if !l.unreachable {
		l.unreachable, l.listNow = true, true
		l.send(run.NewReport(l.name).WithUnreachable())
	}
}
