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

// silentWorker answers nothing until its caller gives up.
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

func newTestLoop(life batch.Incarnation) *loop {
	l := newLoop(New("h", silentWorker{}, nil, nil, hclog.NewNullLogger()))
	l.announced.Publish(announced{announcement: run.NewAnnouncement(life, "s", "z", 1), known: true})
	l.reborn(life)
	return l
}

func hold(life batch.Incarnation, fence uint64, ack int64) orderInput {
	return orderInput{envelope: run.NewEnvelope(fence, run.NewRenewLease(life, time.Second, ack, false))}
}

// Guards against a run that is never known to be settled, because its stop is repeated more often than lists come.
func TestSettledDespiteRepeatedStops(t *testing.T) {
	l := newTestLoop(first)
	l.take(t.Context(), epoch, hold(first, 1, 0))
	l.take(t.Context(), epoch, stoppedInput{id: task, life: first, at: epoch})
	l.take(t.Context(), epoch, stoppedInput{id: task, life: first, at: epoch.Add(700 * time.Millisecond)})
	l.take(t.Context(), epoch, listedInput{life: first, asked: epoch.Add(300 * time.Millisecond), list: run.NewList(first, 1, time.Second, nil, nil, nil)})
	list, ok := (<-l.reports).List()
	require.True(t, ok)
	assert.Equal(t, []run.ID{task}, list.Settled())
}

// Guards against an answer that came after the list was asked for, which the list may not show.
func TestNotSettledByLaterAnswer(t *testing.T) {
	l := newTestLoop(first)
	l.take(t.Context(), epoch, hold(first, 1, 0))
	l.take(t.Context(), epoch, stoppedInput{id: task, life: first, at: epoch.Add(time.Second)})
	l.take(t.Context(), epoch, listedInput{life: first, asked: epoch, list: run.NewList(first, 1, time.Second, nil, nil, nil)})
	list, _ := (<-l.reports).List()
	assert.Empty(t, list.Settled())
}

// Guards against answers of an earlier life of the worker that speak for a later one.
func TestAnotherLife(t *testing.T) {
	l := newTestLoop(first)
	l.take(t.Context(), epoch, hold(first, 1, 0))
	l.take(t.Context(), epoch, stoppedInput{id: task, life: first, at: epoch})
	l.reborn(second)
	assert.Empty(t, l.settled)
	l.take(t.Context(), epoch, stoppedInput{id: task, life: first, at: epoch})
	assert.Empty(t, l.settled)
	l.take(t.Context(), epoch, hold(first, 1, 0))
	assert.False(t, l.held)
	l.take(t.Context(), epoch, hold(second, 1, 0))
	assert.True(t, l.held)
}

// Guards against a deposed leader whose orders are carried out, and against new runs on a worker that is leaving.
func TestRefusals(t *testing.T) {
	start := func(fence uint64, life batch.Incarnation) orderInput {
		return orderInput{envelope: run.NewEnvelope(fence, run.NewStart(task, life, "", "", time.Second))}
	}
	t.Run("order of an earlier term", func(t *testing.T) {
		l := newTestLoop(first)
		l.take(t.Context(), epoch, hold(first, 5, 0))
		l.take(t.Context(), epoch, start(4, first))
		assert.Empty(t, l.starts)
	})
	t.Run("another life", func(t *testing.T) {
		l := newTestLoop(first)
		l.take(t.Context(), epoch, start(1, second))
		assertRefused(t, l)
	})
	t.Run("draining", func(t *testing.T) {
		l := newTestLoop(first)
		l.announced.Publish(announced{announcement: run.NewAnnouncement(first, "s", "z", 2).WithDraining(0), known: true})
		l.take(t.Context(), epoch, start(1, first))
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

// Guards against a worker that is asked again and again for ends that the leader has not committed yet.
func TestPauseForAcknowledgement(t *testing.T) {
	l := newTestLoop(first)
	l.take(t.Context(), epoch, hold(first, 1, 0))
	ended := run.NewFinished(1, batch.NewEnd(task.Task(), 1, batch.Done, ""))
	l.take(t.Context(), epoch, listedInput{life: first, asked: epoch, list: run.NewList(first, 1, time.Second, nil, []run.Finished{ended}, nil)})
	wait, due := l.nextPoll(epoch)
	assert.True(t, due)
	assert.Equal(t, listPause, wait)
	l.take(t.Context(), epoch, hold(first, 1, 1))
	wait, due = l.nextPoll(epoch)
	assert.False(t, due && wait > 0)
}
