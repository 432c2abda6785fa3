package runner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// busyWorker answers starts and stops with prepared errors, in turn, the last one again and again.
type busyWorker struct {
	silentWorker
	mu     sync.Mutex
	starts []error
	stops  []error
	calls  []string
}

func (w *busyWorker) next(call string, errs *[]error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, call)
	err := (*errs)[0]
	if len(*errs) > 1 {
		*errs = (*errs)[1:]
	}
	return err
}

func (w *busyWorker) Start(context.Context, uint64, run.Start) error {
	return w.next("start", &w.starts)
}

func (w *busyWorker) Stop(context.Context, batch.Incarnation, uint64, run.ID) error {
	return w.next("stop", &w.stops)
}

// assertCalls gives an order, waits for what the loop is told of its end, and checks the calls to the worker.
func assertCalls(t *testing.T, w *busyWorker, o run.Order, want ...string) {
	t.Helper()
	l := newLoop(New("h", w, nil, nil, hclog.NewNullLogger()))
	l.announced.Publish(announced{announcement: run.NewAnnouncement(first, "s", "z", 1), known: true})
	l.reborn(first)
	l.take(t.Context(), epoch, orderInput{envelope: run.NewEnvelope(1, o)})
	select {
	case <-l.inputs:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the loop is told nothing")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, want, slices.Clone(w.calls))
}

// Guards against a run that is taken for refused, or stopped, while a call that was not answered may still start it.
func TestBusyWorker(t *testing.T) {
	silence, busy, old := errors.New("no answer"), NewRefusedError("unhealthy"), NewRefusedError(tooOld)
	start := run.NewStart(task, first, "", "", time.Second)
	t.Run("refused while an earlier start is open: barred first", func(t *testing.T) {
		assertCalls(t, &busyWorker{starts: []error{silence, busy}, stops: []error{nil}}, start, "start", "start", "stop")
	})
	t.Run("refused for good", func(t *testing.T) {
		assertCalls(t, &busyWorker{starts: []error{silence, old}, stops: []error{nil}}, start, "start", "start")
	})
	t.Run("a stop that was refused has done nothing", func(t *testing.T) {
		assertCalls(t, &busyWorker{stops: []error{busy, silence, nil}}, run.NewStop(task), "stop", "stop", "stop")
	})
}
