package runner

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

var (
	other        = run.NewID(batch.NewTaskID("j", 0, 0, 1), 1)
	errNoAnswer  = errors.New("connection reset")
	reincarnated = batch.NewIncarnation("h", "w2", 3)
)

// startAt tells the loop that the worker has begun a run on a call sent at the given time after epoch.
func startAt(t *testing.T, l *loop, id run.ID, at time.Duration) {
	t.Helper()
	l.handle(t.Context(), epoch, startedInput{id: id, incarnation: l.incarnation, sentAt: epoch.Add(at), at: epoch.Add(at)})
}

// listAt tells the loop the result of a list that was requested at the given time after epoch.
func listAt(t *testing.T, l *loop, at time.Duration, err error, running ...run.ID) {
	t.Helper()
	var list []run.Running
	for _, id := range running {
		list = append(list, run.NewRunning(id, "", 0, 0))
	}
	l.handle(t.Context(), epoch.Add(at), listedInput{
		incarnation: l.incarnation, requestedAt: epoch.Add(at), err: err, list: run.NewList(l.incarnation, 1, time.Second, list, nil, nil),
	})
}

// announce passes an announcement to the loop and returns what the sessions report after it.
func announce(l *loop, at time.Duration, a run.Announcement) outgoingState {
	l.announced.Publish(workerState{announcement: a, known: true})
	l.observeWorker(context.Background(), epoch.Add(at), l.announced.Load(), l.announced.Version())
	return l.outgoing.Load()
}

func announced(worker batch.Incarnation) run.Announcement {
	return run.NewAnnouncement(worker, "s", "z", 9)
}

// assertCrash checks that the sessions report one crash of the first incarnation, under the given runs.
func assertCrash(t *testing.T, out outgoingState, want ...run.CrashedRun) {
	t.Helper()
	require.Len(t, out.crashes, 1)
	assert.Equal(t, first, out.crashes[0].Worker())
	assert.Equal(t, want, out.crashes[0].Runs())
	assert.Equal(t, 1, out.crashCount)
}

// Guards against the crash of a worker that the leader cannot tell from a worker that left, and against a run that is
// blamed for a crash under which it had not begun or had ended.
func TestCrashReported(t *testing.T) {
	t.Run("with the age of the runs when the worker fell silent", func(t *testing.T) {
		l := newTestLoop(first)
		startAt(t, l, task, 0)
		startAt(t, l, other, time.Second)
		listAt(t, l, 1010*time.Millisecond, errNoAnswer)
		listAt(t, l, 2*time.Second, errNoAnswer)
		assertCrash(t, announce(l, 4*time.Second, announced(reincarnated)),
			run.NewCrashedRun(other, 10*time.Millisecond), run.NewCrashedRun(task, 1010*time.Millisecond))
	})
	t.Run("of an incarnation that keeps its id", func(t *testing.T) {
		l := newTestLoop(first)
		startAt(t, l, task, 0)
		listAt(t, l, 10*time.Millisecond, errNoAnswer)
		assertCrash(t, announce(l, time.Second, announced(second)), run.NewCrashedRun(task, 10*time.Millisecond))
	})
	t.Run("without a run that had ended", func(t *testing.T) {
		l := newTestLoop(first)
		startAt(t, l, task, 0)
		startAt(t, l, other, 0)
		listAt(t, l, time.Second, nil, other)
		listAt(t, l, 2*time.Second, errNoAnswer)
		assertCrash(t, announce(l, 4*time.Second, announced(second)), run.NewCrashedRun(other, 2*time.Second))
	})
	t.Run("without a start that found no worker", func(t *testing.T) {
		l := newTestLoop(first)
		listAt(t, l, 0, errNoAnswer)
		unanswered := unansweredInput{id: task, incarnation: first, err: ErrNoConnection, sentAt: epoch.Add(time.Second), at: epoch.Add(time.Second)}
		l.handle(t.Context(), epoch, unanswered)
		unanswered.err = errNoAnswer
		l.handle(t.Context(), epoch, unanswered)
		assertCrash(t, announce(l, 4*time.Second, announced(second)))
	})
	t.Run("with a start whose answer was lost in the crash", func(t *testing.T) {
		l := newTestLoop(first)
		l.handle(t.Context(), epoch, unansweredInput{
			id: task, incarnation: first, err: errNoAnswer, sentAt: epoch, at: epoch.Add(10 * time.Millisecond),
		})
		assertCrash(t, announce(l, 4*time.Second, announced(second)), run.NewCrashedRun(task, 10*time.Millisecond))
	})
	t.Run("with the age of the runs at the latest answer of a worker that was silent before", func(t *testing.T) {
		for name, silence := range map[string]error{
			"call":       context.DeadlineExceeded,
			"connection": fmt.Errorf("%w: %w", ErrNoConnection, os.ErrDeadlineExceeded),
		} {
			t.Run(name, func(t *testing.T) {
				l := newTestLoop(first)
				startAt(t, l, task, 0)
				listAt(t, l, 2*time.Second, nil, task)
				startAt(t, l, other, 2010*time.Millisecond)
				listAt(t, l, 3*time.Second, silence)
				listAt(t, l, 4*time.Second, errNoAnswer)
				assertCrash(t, announce(l, 6*time.Second, announced(second)),
					run.NewCrashedRun(other, 0), run.NewCrashedRun(task, 2010*time.Millisecond))
			})
		}
	})
	t.Run("without a start that a silent worker did not answer", func(t *testing.T) {
		l := newTestLoop(first)
		listAt(t, l, 0, nil)
		l.handle(t.Context(), epoch, unansweredInput{
			id: task, incarnation: first, err: context.DeadlineExceeded, sentAt: epoch.Add(time.Second), at: epoch.Add(2 * time.Second),
		})
		assertCrash(t, announce(l, 4*time.Second, announced(second)))
	})
	t.Run("without the runs of a worker that has never answered", func(t *testing.T) {
		l := newTestLoop(first)
		listAt(t, l, time.Second, context.DeadlineExceeded)
		assertCrash(t, announce(l, 4*time.Second, announced(second)))
	})
	t.Run("with the runs of a worker that answered again", func(t *testing.T) {
		l := newTestLoop(first)
		startAt(t, l, task, 0)
		listAt(t, l, time.Second, context.DeadlineExceeded)
		listAt(t, l, 2*time.Second, nil, task)
		listAt(t, l, 3*time.Second, errNoAnswer)
		assertCrash(t, announce(l, 4*time.Second, announced(second)), run.NewCrashedRun(task, 3*time.Second))
	})
	t.Run("again in later sessions, a few at most", func(t *testing.T) {
		l := newTestLoop(first)
		for n := range 2 * maxReportedCrashes {
			announce(l, time.Second, announced(batch.NewIncarnation("h", "w", int64(n+2))))
		}
		assert.Len(t, l.outgoing.Load().crashes, maxReportedCrashes)
		assert.Equal(t, 2*maxReportedCrashes, l.outgoing.Load().crashCount)
	})
}

// Guards against a worker that left as announced and is reported as crashed.
func TestDepartureIsNoCrash(t *testing.T) {
	t.Run("draining", func(t *testing.T) {
		l := newTestLoop(first)
		startAt(t, l, task, 0)
		announce(l, time.Second, announced(first).WithDraining(time.Second))
		assert.Empty(t, announce(l, 2*time.Second, announced(second)).crashes)
	})
	t.Run("terminating", func(t *testing.T) {
		l := newTestLoop(first)
		l.announced.Publish(workerState{announcement: announced(first), known: true, terminating: true})
		l.observeWorker(context.Background(), epoch, l.announced.Load(), l.announced.Version())
		assert.Empty(t, announce(l, 2*time.Second, announced(second)).crashes)
	})
	t.Run("first worker after the start of the agent, as after a loss of power", func(t *testing.T) {
		l := newTestLoop(batch.Incarnation{})
		assert.Empty(t, announce(l, time.Second, announced(first)).crashes)
	})
}

// stoppingWorker records the runs that it is told to stop.
type stoppingWorker struct {
	silentWorker
	stopped chan run.ID
}

func (w *stoppingWorker) Stop(_ context.Context, incarnation batch.Incarnation, _ uint64, id run.ID) error {
	if incarnation == second {
		w.stopped <- id
	}
	return nil
}

// Guards against a task that runs twice: a start for an earlier incarnation of the worker can reach the next one with the
// same ID, which holds it longer than the leader counts.
func TestInheritedRunsStopped(t *testing.T) {
	newStoppable := func() (*loop, *stoppingWorker) {
		w := &stoppingWorker{stopped: make(chan run.ID, 2)}
		l := newTestLoop(first)
		l.worker = w
		return l, w
	}
	assertStopped := func(t *testing.T, l *loop, w *stoppingWorker, want run.ID) {
		t.Helper()
		select {
		case id := <-w.stopped:
			assert.Equal(t, want, id)
		case <-time.After(5 * time.Second):
			require.Fail(t, "the run was not stopped")
		}
		for stopped := false; !stopped; {
			in := <-l.inputs
			_, stopped = in.(stoppedInput)
			l.handle(t.Context(), epoch, in)
		}
		assert.Contains(t, l.answers.settled, want)
	}
	t.Run("begun", func(t *testing.T) {
		l, w := newStoppable()
		startAt(t, l, task, 0)
		announce(l, time.Second, announced(second))
		assertStopped(t, l, w, task)
	})
	t.Run("not answered yet", func(t *testing.T) {
		l, w := newStoppable()
		l.handle(t.Context(), epoch, orderInput{envelope: run.NewEnvelope(1, run.NewStart(task, first, "", "", time.Second))})
		announce(l, time.Second, announced(second))
		assertStopped(t, l, w, task)
	})
	t.Run("not those that have ended", func(t *testing.T) {
		l, w := newStoppable()
		startAt(t, l, task, 0)
		startAt(t, l, other, 0)
		listAt(t, l, time.Second, nil, other)
		announce(l, 2*time.Second, announced(second))
		assertStopped(t, l, w, other)
		assert.Empty(t, w.stopped)
	})
	t.Run("not at an incarnation with another id", func(t *testing.T) {
		l, w := newStoppable()
		startAt(t, l, task, 0)
		announce(l, time.Second, announced(reincarnated))
		time.Sleep(20 * time.Millisecond)
		assert.Empty(t, w.stopped)
		assert.Empty(t, l.inputs)
	})
}

// startResults orders a start to a worker that answers start calls with the given errors in order, and returns the
// loop after it has handled the results of n calls.
func startResults(t *testing.T, n int, results ...error) (*loop, *busyWorker) {
	t.Helper()
	w := &busyWorker{starts: results}
	l := newLoop(New("h", w, nil, nil, hclog.NewNullLogger()))
	l.announced.Publish(workerState{announcement: announced(first), known: true})
	l.resetIncarnation(first)
	l.handle(t.Context(), epoch, orderInput{envelope: run.NewEnvelope(1, run.NewStart(task, first, "", "", time.Second))})
	for range n {
		select {
		case in := <-l.inputs:
			l.handle(t.Context(), time.Now(), in)
		case <-time.After(5 * time.Second):
			require.Fail(t, "the loop received no input")
		}
	}
	return l, w
}

// assertNoMoreCalls checks that the worker gets no start beyond the given number.
func assertNoMoreCalls(t *testing.T, l *loop, w *busyWorker, want int) {
	t.Helper()
	time.Sleep(3 * callRetryDelay)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Len(t, w.calls, want)
	assert.Empty(t, l.starts)
	assert.Empty(t, l.answers.settled, "the run may have begun")
}

// Guards against a start that is repeated until the next incarnation of the worker, which may have the same id, carries
// it out: a task that crashes its workers would be started without an order of the leader.
func TestStartNotRepeatedAfterCrash(t *testing.T) {
	refused := fmt.Errorf("%w: connection refused", ErrNoConnection)
	t.Run("crash before the answer", func(t *testing.T) {
		l, w := startResults(t, 2, errNoAnswer, refused, nil)
		assertNoMoreCalls(t, l, w, 2)
	})
	t.Run("worker that was down before", func(t *testing.T) {
		l, w := startResults(t, 1, refused, nil)
		assertNoMoreCalls(t, l, w, 1)
	})
	t.Run("worker that is slow to connect: repeated", func(t *testing.T) {
		l, _ := startResults(t, 2, fmt.Errorf("%w: %w", ErrNoConnection, os.ErrDeadlineExceeded), nil)
		assert.Contains(t, l.watch.begun, task)
	})
}

// reportsUnreachable takes the queued reports and returns how many say that the worker accepts no connection.
func reportsUnreachable(l *loop) (count int) {
	for len(l.reports) > 0 {
		if r := <-l.reports; r.Unreachable() {
			count++
		}
	}
	return count
}

// Guards against starts that are ordered to a worker that is known to be down.
func TestUnreachableWorker(t *testing.T) {
	refused := fmt.Errorf("%w: connection refused", ErrNoConnection)
	t.Run("reported once", func(t *testing.T) {
		l := newTestLoop(first)
		listAt(t, l, 0, refused)
		listAt(t, l, time.Second, refused)
		l.handle(t.Context(), epoch, unansweredInput{id: task, incarnation: first, err: refused, sentAt: epoch, at: epoch})
		assert.Equal(t, 1, reportsUnreachable(l))
	})
	t.Run("not after a call without an answer", func(t *testing.T) {
		l := newTestLoop(first)
		listAt(t, l, 0, errNoAnswer)
		assert.Zero(t, reportsUnreachable(l))
	})
	t.Run("a list follows once it is reachable", func(t *testing.T) {
		l := newTestLoop(first)
		listAt(t, l, 0, nil)
		listAt(t, l, time.Second, refused)
		reportsUnreachable(l)
		listAt(t, l, 2*time.Second, nil)
		_, listed := (<-l.reports).List()
		assert.True(t, listed)
		listAt(t, l, 3*time.Second, refused)
		assert.Equal(t, 1, reportsUnreachable(l))
	})
}
