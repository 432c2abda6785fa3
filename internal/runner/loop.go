package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// callTimeout bounds one call to the worker; a list call has the time for which the worker may wait in addition.
	callTimeout = 800 * time.Millisecond
	// callRetryDelay is the delay before a call to the worker is repeated.
	callRetryDelay = 100 * time.Millisecond
	// listWait is how long a list call waits at the worker for a run to end.
	listWait = time.Second
	// unacknowledgedListDelay is the delay before the next list while the leader has not acknowledged the listed ends, or
	// the worker has not dropped them.
	unacknowledgedListDelay = 400 * time.Millisecond
	// maxStopAttempts bounds the calls for one stop order; the leader repeats the order.
	maxStopAttempts = 10
)

// loop holds the agent's state; only the goroutine of run accesses it.
type loop struct {
	*Runner
	fencingToken uint64
	renewal      run.RenewLease // the latest one; valid if renewed
	renewed      bool
	starts       map[run.ID]pendingStart       // starts without an answer
	paces        map[run.ID]context.CancelFunc // latest pace call of each run
	answers      answers
	clock        workerClock
	list         run.List
	reported     map[run.ID]reportedProgress
	listing      bool // a list call is in progress
	listNow      bool // request a list even from an idle worker, without waiting there
	cancelList   context.CancelFunc
	nextList     time.Time
	incarnation  batch.Incarnation
	resendList   bool // report the next list even without news
	unreachable  bool // the worker accepts no connection, and the leader was told
	exited       bool // the worker has ended after it had announced its termination
	watch        crashWatch
	crashes      []run.Crash // of earlier incarnations, oldest first
	crashCount   int
	observed     uint64 // version of the announcement that was published last
}

func newLoop(r *Runner) *loop {
	return &loop{
		Runner: r, starts: map[run.ID]pendingStart{}, paces: map[run.ID]context.CancelFunc{},
		answers: newAnswers(), watch: newCrashWatch(),
	}
}

// run polls the worker and handles inputs until ctx ends.
func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := clock.Now()
		version := l.announced.Version()
		a, changed := l.announced.Watch()
		l.observeWorker(ctx, now, a, version)
		l.poll(ctx, now)
		if wait, due := l.nextPoll(now); due {
			timer.Reset(wait)
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-changed:
		case in := <-l.inputs:
			l.handle(ctx, clock.Now(), in)
		}
	}
}

// resetIncarnation discards the calls and lists of an earlier incarnation of the worker.
func (l *loop) resetIncarnation(incarnation batch.Incarnation) {
	l.incarnation, l.renewed, l.list, l.unreachable, l.exited = incarnation, false, run.List{}, false, false
	for id, s := range l.starts {
		s.cancel()
		delete(l.starts, id)
	}
	l.answers.reset()
	l.clock.reset()
	clear(l.paces)
	if l.cancelList != nil {
		l.cancelList()
	}
}

func (l *loop) handle(ctx context.Context, now time.Time, in input) {
	switch in := in.(type) {
	case sessionInput:
		l.listNow, l.resendList = true, true
	case orderInput:
		l.handleOrder(ctx, now, in.envelope)
	case startedInput:
		l.handleStarted(in)
	case unansweredInput:
		if in.incarnation == l.incarnation {
			l.handleUnanswered(in)
		}
	case expiredInput:
		// The leader decides about the run, which may have begun.
		l.logger.Info("start given up", "task", in.id.Task().String(), "run", in.id.Run(), "order", in.order.String())
		l.cancelOrder(in.id, in.order)
	case stoppedInput:
		if in.incarnation == l.incarnation {
			l.answers.recordEnded(in.id, in.order, in.at)
			l.nextList = now
			// A list call that waits for a run to end would not return for a run that is not on the worker.
			l.listNow = l.listNow || !l.isRunning(in.id)
		}
	case listedInput:
		l.handleListed(now, in)
	}
}

// handleOrder carries out an order, unless an order with a higher fencing token has arrived before.
func (l *loop) handleOrder(ctx context.Context, now time.Time, e run.Envelope) {
	if e.FencingToken() < l.fencingToken {
		l.logger.Info("order of an earlier leader ignored", "fence", e.FencingToken(), "known", l.fencingToken)
		return
	}
	l.fencingToken = e.FencingToken()
	switch o := e.Order().(type) {
	case run.Start:
		l.start(ctx, now, o)
	case run.Stop:
		l.stop(ctx, o)
	case run.Pace:
		l.pace(ctx, o)
	case run.RenewLease:
		if o.Incarnation() != l.incarnation {
			return
		}
		acknowledges := l.renewed && o.Acknowledged() > l.renewal.Acknowledged()
		l.renewal, l.renewed = o, true
		l.holdSpeed(now, o)
		if o.ListNow() {
			l.listNow = true
		}
		if acknowledges || o.ListNow() {
			l.nextList = now
		}
	}
}

// stop cancels a pending start and stops the run in the background.
func (l *loop) stop(ctx context.Context, o run.Stop) {
	l.cancelStart(o.ID())
	incarnation, fencingToken := l.incarnation, l.fencingToken
	go func() {
		if l.ensureStopped(ctx, incarnation, fencingToken, o.ID(), o.OrderID()) {
			l.enqueue(ctx, stoppedInput{id: o.ID(), order: o.OrderID(), incarnation: incarnation, at: clock.Now()})
		}
	}()
}

// ensureStopped stops a run on behalf of an order, and keeps the worker from carrying out a start that arrives later. It
// reports whether the worker has answered so, with success or a final refusal, within maxStopAttempts. Any other refusal,
// such as that of a busy worker, means that the stop had no effect.
func (l *loop) ensureStopped(
	ctx context.Context, incarnation batch.Incarnation, fencingToken uint64, id run.ID, order run.OrderID,
) bool {
	for range maxStopAttempts {
		ended, ok := begin(ctx, l.stopping)
		if !ok {
			return false
		}
		attempt, done := context.WithTimeout(ctx, callTimeout)
		err := l.worker.Stop(attempt, incarnation, fencingToken, id)
		done()
		ended()
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) && refused.Final() {
			l.logger.Info("stop answered", "task", id.Task().String(), "run", id.Run(), "order", order.String(),
				"refused", err != nil)
			return true
		}
		l.logger.Info("stop not answered", "task", id.Task().String(), "run", id.Run(), "order", order.String(),
			"error", err)
		if !clock.Pause(ctx, callRetryDelay) {
			return false
		}
	}
	return false
}

// pace passes the share of a run's speed to the worker once, since the leader repeats the order; it cancels an earlier
// call for the run that is not answered yet.
func (l *loop) pace(ctx context.Context, o run.Pace) {
	if cancel := l.paces[o.ID()]; cancel != nil {
		cancel()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	l.paces[o.ID()] = cancel
	incarnation, fencingToken := l.incarnation, l.fencingToken
	go func() {
		defer cancel()
		if err := l.worker.Pace(ctx, incarnation, fencingToken, o.ID(), o.Percent()); err != nil &&
			!errors.Is(err, context.Canceled) {
			l.logger.Info("pace not answered", "task", o.ID().Task().String(), "run", o.ID().Run(), "percent", o.Percent(),
				"error", err)
		}
	}()
}

// nextPoll returns the time until the next list call, and whether one is due at all.
func (l *loop) nextPoll(now time.Time) (wait time.Duration, due bool) {
	if !l.renewed || l.listing {
		return 0, false
	}
	if !l.listNow && !l.busy() {
		return 0, false
	}
	return max(l.nextList.Sub(now), 0), true
}

// busy reports whether the worker may have runs, ends that are still to be reported or dropped, or settled calls that
// are still to be reported.
func (l *loop) busy() bool {
	return len(l.list.Running()) > 0 || len(l.starts) > 0 || len(l.list.Finished()) > 0 ||
		l.answers.hasUnlisted()
}

// isRunning reports whether the latest list shows the run as running.
func (l *loop) isRunning(id run.ID) bool {
	return slices.ContainsFunc(l.list.Running(), func(r run.Running) bool { return r.ID() == id })
}

// runningIDs returns the runs in progress, of which a worker may list thousands.
func runningIDs(list run.List) map[run.ID]bool {
	ids := make(map[run.ID]bool, len(list.Running()))
	for _, r := range list.Running() {
		ids[r.ID()] = true
	}
	return ids
}

// hasUnacknowledged reports whether the latest list has an end that the leader has not acknowledged.
func (l *loop) hasUnacknowledged() bool {
	n := len(l.list.Finished())
	return n > 0 && l.list.Finished()[n-1].Number() > l.renewal.Acknowledged()
}

// acknowledgement returns the number of the last end that the worker is to drop, or 0 if its latest list shows none to
// drop. Each incarnation numbers its ends from 1 and calls reach a new one with the same ID before it is announced, so a
// number that has served its purpose is not sent again: the new incarnation would drop its own ends before they are
// reported.
func (l *loop) acknowledgement() int64 {
	if n := l.list.Finished(); len(n) == 0 || n[0].Number() > l.renewal.Acknowledged() {
		return 0
	}
	return l.renewal.Acknowledged()
}

// poll starts a list call if one is due. The call does not wait at the worker while ends are not acknowledged.
func (l *loop) poll(ctx context.Context, now time.Time) {
	if l.listNow && l.listing && l.cancelList != nil {
		l.cancelList()
	}
	delay, due := l.nextPoll(now)
	if !due || delay > 0 {
		return
	}
	l.listing = true
	wait := listWait
	if l.listNow || l.hasUnacknowledged() {
		wait = 0
	}
	l.listNow = false
	renewal, fencingToken, acknowledgement := l.renewal, l.fencingToken, l.acknowledgement()
	ctx, l.cancelList = context.WithTimeout(ctx, callTimeout+wait)
	cancel := l.cancelList
	go func() {
		defer cancel()
		list, err := l.worker.List(ctx, renewal.Incarnation(), fencingToken, renewal.Lease(), acknowledgement, wait)
		l.enqueue(context.WithoutCancel(ctx), listedInput{
			incarnation: renewal.Incarnation(), list: list, requestedAt: now, acknowledged: acknowledgement, err: err,
		})
	}()
}

// handleListed stores a list and reports it to the leader if it has news.
func (l *loop) handleListed(now time.Time, in listedInput) {
	l.listing = false
	if in.incarnation != l.incarnation {
		return
	}
	if in.err != nil {
		l.listNow = true
		l.nextList = now
		if !errors.Is(in.err, context.Canceled) {
			l.logger.Info("list not answered", "error", in.err)
			l.watch.recordSilence(now, in.err)
			if errors.Is(in.err, ErrNoConnection) {
				l.reportUnreachable(in.err)
			}
			l.nextList = now.Add(callRetryDelay)
		}
		return
	}
	list := run.NewList(in.list.Incarnation(), in.list.FencingToken(), in.list.Clock(), in.list.Running(),
		in.list.Finished(), l.answers.listBefore(in.requestedAt, now)).WithTruncated(in.list.Truncated())
	running := runningIDs(list)
	for id := range l.paces {
		if !running[id] {
			delete(l.paces, id)
		}
	}
	l.clock.observe(list.Clock(), in.requestedAt)
	changed := !sameList(l.list, list)
	l.list = list
	l.watch.recordAnswer(now)
	l.watch.forgetEnded(list.Settled(), running)
	if n := l.acknowledgement(); l.hasUnacknowledged() || n > 0 && n == in.acknowledged {
		l.nextList = now.Add(unacknowledgedListDelay)
	} else {
		l.nextList = now
	}
	if l.unreachable {
		l.unreachable, l.resendList = false, true
	}
	if changed || l.resendList || l.progressDeviates(now, list) {
		l.resendList = false
		l.recordProgress(now, list)
		l.send(run.NewReport(l.name).WithList(list))
	}
}

// sameList reports whether two lists differ at most in the clock, the progress and the measurements.
func sameList(a, b run.List) bool {
	if a.Incarnation() != b.Incarnation() || a.FencingToken() != b.FencingToken() ||
		len(a.Running()) != len(b.Running()) || len(a.Finished()) != len(b.Finished()) ||
		!sameSettled(a.Settled(), b.Settled()) || a.Truncated() != b.Truncated() {
		return false
	}
	for i, r := range a.Running() {
		if r.ID() != b.Running()[i].ID() || r.Checkpoint() != b.Running()[i].Checkpoint() {
			return false
		}
	}
	for i, f := range a.Finished() {
		if f.Number() != b.Finished()[i].Number() {
			return false
		}
	}
	return true
}

// sameSettled reports whether two lists contain the same answers, in any order.
func sameSettled(a, b []run.Settled) bool {
	if len(a) != len(b) {
		return false
	}
	answered := make(map[run.ID]run.OrderID, len(a))
	for _, s := range a {
		answered[s.ID()] = s.OrderID()
	}
	return !slices.ContainsFunc(b, func(s run.Settled) bool {
		order, known := answered[s.ID()]
		return !known || order != s.OrderID()
	})
}

// send queues a report for the session. If the queue is full, it drops the report, and the next list is reported even
// without news.
func (l *loop) send(r run.Report) {
	select {
	case l.reports <- r:
	default:
		l.logger.Warn("report dropped", "queued", len(l.reports))
		l.listNow, l.resendList = true, true
	}
}
