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

// busyWorker answers starts and stops with the given errors in order and repeats the last one.
type busyWorker struct {
	silentWorker
	mu     sync.Mutex
	starts []error
	stops  []error
	calls  []string
}

// next records a call and returns its answer. A call whose context has ended is not sent.
func (w *busyWorker) next(ctx context.Context, call string, errs *[]error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	w.calls = append(w.calls, call)
	err := (*errs)[0]
	if len(*errs) > 1 {
		*errs = (*errs)[1:]
	}
	return err
}

func (w *busyWorker) Start(ctx context.Context, _ uint64, _ run.Start) error {
	return w.next(ctx, "start", &w.starts)
}

func (w *busyWorker) Stop(ctx context.Context, _ batch.Incarnation, _ uint64, _ run.ID) error {
	return w.next(ctx, "stop", &w.stops)
}

// awaitResult waits for the input that ends an order; the inputs for its unanswered attempts come before.
func awaitResult(t *testing.T, l *loop) {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case in := <-l.inputs:
			if _, unanswered := in.(unansweredInput); !unanswered {
				return
			}
		case <-timeout:
			require.Fail(t, "the loop received no input")
		}
	}
}

// assertCalls gives an order to the loop, waits for the result of its call, and checks the calls to the worker.
func assertCalls(t *testing.T, w *busyWorker, o run.Order, want ...string) {
	t.Helper()
	l := newLoop(New("h", w, nil, nil, hclog.NewNullLogger()))
	l.announced.Publish(workerState{announcement: run.NewAnnouncement(first, "s", "z", 1), known: true})
	l.resetIncarnation(first)
	l.handle(t.Context(), epoch, orderInput{envelope: run.NewEnvelope(1, o)})
	awaitResult(t, l)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, want, slices.Clone(w.calls))
}

// Guards against a run that counts as refused or stopped while an unanswered call may still start it.
func TestBusyWorker(t *testing.T) {
	unanswered, busy, old := errors.New("no answer"), NewRefusedError("unhealthy"), NewRefusedError(tooOld)
	start := run.NewStart(task, first, "", "", time.Second)
	t.Run("refused while an earlier start is unanswered: stopped first", func(t *testing.T) {
		assertCalls(t, &busyWorker{starts: []error{unanswered, busy}, stops: []error{nil}}, start, "start", "start", "stop")
	})
	t.Run("final refusal", func(t *testing.T) {
		assertCalls(t, &busyWorker{starts: []error{unanswered, old}, stops: []error{nil}}, start, "start", "start")
	})
	t.Run("a refused stop is repeated", func(t *testing.T) {
		assertCalls(t, &busyWorker{stops: []error{busy, unanswered, nil}}, run.NewStop(task), "stop", "stop", "stop")
	})
}
