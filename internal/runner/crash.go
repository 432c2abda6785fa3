package runner

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/run"
)

// maxReportedCrashes bounds the crashes that each new session reports again. A leader needs only those of the time
// since the previous leader's last commit.
const maxReportedCrashes = 4

// maxLoggedRuns bounds the runs that the log line of a crash names.
const maxLoggedRuns = 16

// crashWatch follows which runs the current incarnation of the worker has begun and since when it does not answer.
type crashWatch struct {
	begun       map[run.ID]time.Time // when the start call was sent that the worker has carried out, or may have
	answeredAt  time.Time            // time of the latest answer, zero if there was none
	silentSince time.Time            // time of the first failed call since the latest answer; zero if none failed
	timedOut    bool                 // that call timed out, so the worker fell silent before it crashed
	leaving     bool                 // the worker drains or has announced its termination
}

func newCrashWatch() crashWatch { return crashWatch{begun: map[run.ID]time.Time{}} }

// recordBegun records a run that the worker has begun, or may have begun, on a call that was sent at the given time.
func (w *crashWatch) recordBegun(id run.ID, sentAt time.Time) { w.begun[id] = sentAt }

// recordAnswer records that the worker has answered a call.
func (w *crashWatch) recordAnswer(at time.Time) {
	w.answeredAt, w.silentSince, w.timedOut = at, time.Time{}, false
}

// recordSilence records that a call failed without an answer.
func (w *crashWatch) recordSilence(at time.Time, err error) {
	if w.silentSince.IsZero() {
		w.silentSince, w.timedOut = at, isTimeout(err)
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// forgetEnded drops the runs that a list shows to have ended: those that are settled and no longer running.
func (w *crashWatch) forgetEnded(settled []run.Settled, running map[run.ID]bool) {
	for _, s := range settled {
		if !running[s.ID()] {
			delete(w.begun, s.ID())
		}
	}
}

// crash returns the crash of the worker, once its next incarnation is known; ok is false if it had announced that it
// leaves. A start that was sent after the worker had stopped answering did not reach it. For a worker that fell silent
// first, the runs have the age that they had at its latest answer: a task may hang its worker before it crashes it.
func (w *crashWatch) crash(now time.Time, worker batch.Incarnation) (c run.Crash, ok bool) {
	if worker == (batch.Incarnation{}) || w.leaving {
		return c, false
	}
	at := now
	switch {
	case w.timedOut:
		at = w.answeredAt
	case !w.silentSince.IsZero():
		at = w.silentSince
	}
	var runs []run.CrashedRun
	for id, sentAt := range w.begun {
		if !sentAt.After(at) {
			runs = append(runs, run.NewCrashedRun(id, at.Sub(sentAt)))
		}
	}
	slices.SortFunc(runs, func(a, b run.CrashedRun) int { return cmp.Compare(a.Age(), b.Age()) })
	return run.NewCrash(worker, runs...), true
}

// observeWorker follows the worker's announcements: it notes the crash of the previous incarnation, and publishes the
// announcement for the sessions together with the crashes, so that the leader never learns of a new incarnation
// before it learns how the previous one ended. Starts for the previous incarnation may have reached one with the same
// ID, where their lease ends later than the leader counts, so they are stopped there at once.
func (l *loop) observeWorker(ctx context.Context, now time.Time, a workerState, version uint64) {
	if !a.known || version == l.observed {
		return
	}
	l.observed = version
	if latest := a.announcement.Incarnation(); latest != l.incarnation {
		if c, crashed := l.watch.crash(now, l.incarnation); crashed {
			l.logCrash(c)
			l.crashes = append(l.crashes[max(0, len(l.crashes)-maxReportedCrashes+1):len(l.crashes):len(l.crashes)], c)
			l.crashCount++
		}
		var inherited []run.ID
		if latest.ID() == l.incarnation.ID() {
			inherited = l.begunRuns()
		}
		l.watch = newCrashWatch()
		l.resetIncarnation(latest)
		go l.stopInherited(ctx, latest, l.fencingToken, inherited)
	}
	l.clock.observe(a.announcement.Clock(), now)
	l.watch.leaving = a.announcement.Draining() || a.terminating
	l.publish(a)
}

// publish publishes what the sessions report of the worker.
func (l *loop) publish(a workerState) {
	l.outgoing.Publish(outgoingState{worker: a, exited: l.exited, crashes: l.crashes, crashCount: l.crashCount})
}

// observeRefusal notes that the worker refuses connections. After the notice of its termination it has ended; before that
// it may be about to start again.
func (l *loop) observeRefusal() {
	a := l.announced.Load()
	if l.exited || !a.terminating || a.announcement.Incarnation() != l.incarnation {
		return
	}
	l.logger.Info("worker has ended", "worker", l.incarnation.ID())
	l.exited = true
	l.publish(a)
}

// begunRuns returns the runs that the worker has begun, or may have begun, latest first.
func (l *loop) begunRuns() []run.ID {
	ids := slices.Collect(maps.Keys(l.watch.begun))
	slices.SortFunc(ids, func(a, b run.ID) int { return l.watch.begun[b].Compare(l.watch.begun[a]) })
	for id := range l.starts {
		if _, begun := l.watch.begun[id]; !begun {
			ids = append(ids, id)
		}
	}
	return ids
}

// stopInherited stops runs that were ordered for an earlier incarnation of the worker.
func (l *loop) stopInherited(ctx context.Context, incarnation batch.Incarnation, fencingToken uint64, ids []run.ID) {
	for _, id := range ids {
		if l.ensureStopped(ctx, incarnation, fencingToken, id, run.OrderID{}) {
			l.enqueue(ctx, stoppedInput{id: id, incarnation: incarnation, at: clock.Now()})
		}
	}
}

func (l *loop) logCrash(c run.Crash) {
	runs := make([]string, 0, len(c.Runs()))
	for _, r := range c.Runs()[:min(len(c.Runs()), maxLoggedRuns)] {
		runs = append(runs, r.ID().Task().String()+"/"+strconv.Itoa(r.ID().Run())+" after "+r.Age().String())
	}
	l.logger.Info("worker crashed", "worker", c.Worker().ID(), "born", c.Worker().StartUnixMS(), "count", len(c.Runs()),
		"runs", runs)
}
