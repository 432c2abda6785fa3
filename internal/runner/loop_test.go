package runner

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

var (
	epoch  = time.Unix(1_800_000_000, 0)
	first  = batch.NewIncarnation("h", "w", 1)
	second = batch.NewIncarnation("h", "w", 2)
	task   = run.NewID(batch.NewTaskID("j", 0, 0, 0), 1)
)

// silentWorker answers no call; each call returns when its context ends.
type silentWorker struct{}

func (silentWorker) Start(ctx context.Context, _ uint64, _ run.Start) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silentWorker) Stop(ctx context.Context, _ batch.Incarnation, _ uint64, _ run.ID) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silentWorker) Pace(ctx context.Context, _ batch.Incarnation, _ uint64, _ run.ID, _ int) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silentWorker) List(
	ctx context.Context, _ batch.Incarnation, _ uint64, _ time.Duration, _ int64, _ time.Duration,
) (run.List, error) {
	<-ctx.Done()
	return run.List{}, ctx.Err()
}

func newTestLoop(incarnation batch.Incarnation) *loop {
	l := newLoop(New("h", silentWorker{}, nil, nil, hclog.NewNullLogger()))
	l.announced.Publish(workerState{announcement: run.NewAnnouncement(incarnation, "s", "z", 1), known: true})
	l.resetIncarnation(incarnation)
	return l
}

func renewal(incarnation batch.Incarnation, fencingToken uint64, ack int64) orderInput {
	return orderInput{envelope: run.NewEnvelope(fencingToken, run.NewRenewLease(incarnation, time.Second, ack, false))}
}

// Guards against a run that is never reported as settled because its stop is repeated more often than lists are
// requested.
func TestSettledDespiteRepeatedStops(t *testing.T) {
	l := newTestLoop(first)
	l.handle(t.Context(), epoch, renewal(first, 1, 0))
	l.handle(t.Context(), epoch, stoppedInput{id: task, incarnation: first, at: epoch})
	l.handle(t.Context(), epoch, stoppedInput{id: task, incarnation: first, at: epoch.Add(700 * time.Millisecond)})
	l.handle(t.Context(), epoch, listedInput{
		incarnation: first, requestedAt: epoch.Add(300 * time.Millisecond),
		list: run.NewList(first, 1, time.Second, nil, nil, nil),
	})
	list, ok := (<-l.reports).List()
	require.True(t, ok)
	assert.Equal(t, []run.Settled{run.NewSettled(task, run.OrderID{})}, list.Settled())
}

// Guards against a run that is reported as settled by an answer after the request for the list, which may miss the run.
func TestNotSettledByLaterAnswer(t *testing.T) {
	l := newTestLoop(first)
	l.handle(t.Context(), epoch, renewal(first, 1, 0))
	l.handle(t.Context(), epoch, stoppedInput{id: task, incarnation: first, at: epoch.Add(time.Second)})
	l.handle(t.Context(), epoch, listedInput{
		incarnation: first, requestedAt: epoch, list: run.NewList(first, 1, time.Second, nil, nil, nil),
	})
	list, _ := (<-l.reports).List()
	assert.Empty(t, list.Settled())
}

// Guards against answers of an earlier incarnation of the worker that count for a later one.
func TestAnotherLife(t *testing.T) {
	l := newTestLoop(first)
	l.handle(t.Context(), epoch, renewal(first, 1, 0))
	l.handle(t.Context(), epoch, stoppedInput{id: task, incarnation: first, at: epoch})
	l.resetIncarnation(second)
	assert.Empty(t, l.answers.settled)
	l.handle(t.Context(), epoch, stoppedInput{id: task, incarnation: first, at: epoch})
	assert.Empty(t, l.answers.settled)
	l.handle(t.Context(), epoch, renewal(first, 1, 0))
	assert.False(t, l.renewed)
	l.handle(t.Context(), epoch, renewal(second, 1, 0))
	assert.True(t, l.renewed)
}

// Guards against orders of a deposed leader that are carried out, and against new runs on a draining worker.
func TestRefusals(t *testing.T) {
	start := func(fencingToken uint64, incarnation batch.Incarnation) orderInput {
		return orderInput{envelope: run.NewEnvelope(fencingToken, run.NewStart(task, incarnation, "", "", time.Second))}
	}
	t.Run("order with a lower fencing token", func(t *testing.T) {
		l := newTestLoop(first)
		l.handle(t.Context(), epoch, renewal(first, 5, 0))
		l.handle(t.Context(), epoch, start(4, first))
		assert.Empty(t, l.starts)
	})
	t.Run("another incarnation", func(t *testing.T) {
		l := newTestLoop(first)
		l.handle(t.Context(), epoch, start(1, second))
		assertRefused(t, l)
	})
	t.Run("draining", func(t *testing.T) {
		l := newTestLoop(first)
		l.announced.Publish(workerState{announcement: run.NewAnnouncement(first, "s", "z", 2).WithDraining(0), known: true})
		l.handle(t.Context(), epoch, start(1, first))
		assertRefused(t, l)
	})
}

func assertRefused(t *testing.T, l *loop) {
	t.Helper()
	assert.Empty(t, l.starts)
	require.Len(t, l.reports, 1)
	r := <-l.reports
	require.Len(t, r.Refused(), 1)
	assert.Equal(t, task, r.Refused()[0].ID())
}

// Guards against list calls without a delay while the leader has not committed the listed ends.
func TestPauseForAcknowledgement(t *testing.T) {
	l := newTestLoop(first)
	l.handle(t.Context(), epoch, renewal(first, 1, 0))
	ended := run.NewFinished(1, batch.NewEnd(task.Task(), 1, batch.Done, ""))
	l.handle(t.Context(), epoch, listedInput{
		incarnation: first, requestedAt: epoch, list: run.NewList(first, 1, time.Second, nil, []run.Finished{ended}, nil),
	})
	wait, due := l.nextPoll(epoch)
	assert.True(t, due)
	assert.Equal(t, unacknowledgedListDelay, wait)
	l.handle(t.Context(), epoch, renewal(first, 1, 1))
	wait, due = l.nextPoll(epoch)
	assert.False(t, due && wait > 0)
}

// acknowledgedBy returns the number that the next list call acknowledges, and whether such a call is due.
func acknowledgedBy(t *testing.T, l *loop, w *recordingWorker) (number int64, due bool) {
	t.Helper()
	if wait, due := l.nextPoll(epoch); !due || wait > 0 {
		return 0, false
	}
	l.poll(t.Context(), epoch)
	number = <-w.acknowledged
	l.handle(t.Context(), epoch, (<-l.inputs).(listedInput))
	return number, true
}

// recordingWorker answers each list call with the prepared list and passes on the number that the call acknowledges.
type recordingWorker struct {
	silentWorker
	list         run.List
	acknowledged chan int64
}

func (w *recordingWorker) List(
	_ context.Context, _ batch.Incarnation, _ uint64, _ time.Duration, acknowledged int64, _ time.Duration,
) (run.List, error) {
	w.acknowledged <- acknowledged
	return w.list, nil
}

// Guards against ends of a new incarnation with the same ID that are acknowledged before they are reported, by the
// number of an end of the earlier incarnation, and against an acknowledgement that an idle worker never gets.
func TestAcknowledgement(t *testing.T) {
	ended := run.NewFinished(3, batch.NewEnd(task.Task(), 1, batch.Done, ""))
	newListed := func(t *testing.T) (*loop, *recordingWorker) {
		w := &recordingWorker{acknowledged: make(chan int64, 1)}
		l := newTestLoop(first)
		l.worker = w
		l.handle(t.Context(), epoch, renewal(first, 1, 0))
		l.handle(t.Context(), epoch, listedInput{
			incarnation: first, requestedAt: epoch, list: run.NewList(first, 1, time.Second, nil, []run.Finished{ended}, nil),
		})
		return l, w
	}
	assertAcknowledges := func(t *testing.T, l *loop, w *recordingWorker, want int64) {
		t.Helper()
		number, due := acknowledgedBy(t, l, w)
		assert.True(t, due)
		assert.Equal(t, want, number)
	}
	t.Run("sent to an idle worker", func(t *testing.T) {
		l, w := newListed(t)
		l.handle(t.Context(), epoch, renewal(first, 1, 3))
		assertAcknowledges(t, l, w, 3)
	})
	t.Run("repeated until the worker has dropped the end", func(t *testing.T) {
		l, w := newListed(t)
		l.handle(t.Context(), epoch, renewal(first, 1, 3))
		w.list = run.NewList(first, 1, time.Second, nil, []run.Finished{ended}, nil)
		assertAcknowledges(t, l, w, 3)
		wait, due := l.nextPoll(epoch)
		assert.True(t, due)
		assert.Equal(t, unacknowledgedListDelay, wait)
		l.nextList = epoch
		assertAcknowledges(t, l, w, 3)
	})
	t.Run("not repeated after that", func(t *testing.T) {
		l, w := newListed(t)
		l.handle(t.Context(), epoch, renewal(first, 1, 3))
		w.list = run.NewList(first, 1, time.Second, []run.Running{run.NewRunning(task, "", 0, 0)}, nil, nil)
		assertAcknowledges(t, l, w, 3)
		assertAcknowledges(t, l, w, 0)
	})
}
