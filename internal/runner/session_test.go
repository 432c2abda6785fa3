package runner

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// firstReport returns the first report of a session that an agent opens for a worker in the given state and with the given
// speed.
func firstReport(t *testing.T, w workerState, held heldSpeed) run.Report {
	t.Helper()
	serverTLS, clientTLS, err := keys.Trusted.TLS(time.Now())
	require.NoError(t, err)
	s, err := link.Listen("127.0.0.1:0", serverTLS)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reports, served := make(chan run.Report, 1), make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(ctx, func(_ context.Context, st *link.Stream) {
			if _, err := wire.ReadOpening(st); err != nil {
				return
			}
			if r, err := wire.ReadRunReport(st); err == nil {
				reports <- r
			}
		})
	}()
	pool := link.NewPool(clientTLS)
	r := New("h", silentWorker{}, pool, nil, hclog.NewNullLogger())
	r.outgoing.Publish(outgoingState{worker: w})
	r.speed.Publish(held)
	_ = r.runSession(ctx, s.Address().String())
	pool.Close()
	cancel()
	<-served
	_ = s.Close()
	select {
	case first := <-reports:
		return first
	default:
		require.Fail(t, "the leader received no report")
		return run.Report{}
	}
}

// Guards against a leader elected after a worker has announced its end that does not learn of it: the leader waits for the
// lease of each run there to end.
func TestSessionReportsTermination(t *testing.T) {
	for name, terminating := range map[string]bool{"stays": false, "terminates": true} {
		t.Run(name, func(t *testing.T) {
			r := firstReport(t, workerState{announcement: run.NewAnnouncement(first, "s", "z", 1), known: true, terminating: terminating}, heldSpeed{})
			_, announced := r.Announcement()
			assert.True(t, announced)
			assert.Equal(t, terminating, r.Terminating())
		})
	}
}

// Guards against a session that begins without the speed of the worker, which a new leader then has to learn again.
func TestSessionReportsSpeed(t *testing.T) {
	known := run.NewSpeed(first, 0.5, 0.2, 7, time.Second)
	r := firstReport(t, workerState{announcement: run.NewAnnouncement(first, "s", "z", 1), known: true},
		heldSpeed{speed: known, at: time.Now(), known: true})
	s, ok := r.Speed()
	assert.True(t, ok)
	assert.InDelta(t, known.Logarithm(), s.Logarithm(), 1e-9)
}

// Guards against a list that the leader never gets because the queue of reports was full: later lists without news are not
// reported, so the leader goes on to take the worker as its latest report showed it.
func TestDroppedListIsRepeated(t *testing.T) {
	l := newTestLoop(first)
	l.handle(t.Context(), epoch, renewal(first, 1, 0))
	for range reportBuffer {
		l.send(run.NewReport("h").WithUnreachable())
	}
	listed := listedInput{incarnation: first, requestedAt: epoch, list: run.NewList(first, 1, time.Second, nil, nil, nil)}
	l.handle(t.Context(), epoch, sessionInput{})
	l.handle(t.Context(), epoch, listed)
	for range reportBuffer {
		<-l.reports
	}
	l.handle(t.Context(), epoch.Add(time.Second), listed)
	require.Len(t, l.reports, 1)
	_, isList := (<-l.reports).List()
	assert.True(t, isList)
}
