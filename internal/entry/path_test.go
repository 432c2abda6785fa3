package entry_test

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Guards against a refusal that hides an earlier attempt which may have run.
func TestRetries(t *testing.T) {
	t.Run("lost, then refused", func(t *testing.T) {
		w := newWorld(t)
		var calls atomic.Int64
		lossy := func(ctx context.Context, s *link.Stream, f wire.Forward) {
			if calls.Add(1) == 1 {
				cutting(ctx, s, f)
				return
			}
			refusing(outcome.NoSlot, 0)(ctx, s, f)
		}
		s := newSite(t, w, []fleet.Endpoint{w.agent("w1", 8, lossy), w.agent("w2", 8, lossy)})
		r := requireCall(t, s, http.MethodGet, "/w/previews/a", "")
		assert.EqualValues(t, 2, calls.Load())
		assertLost(t, r, http.StatusBadGateway, outcome.NoSlot)
	})
	t.Run("a loss that is not idempotent is not retried", func(t *testing.T) {
		w := newWorld(t)
		var calls atomic.Int64
		lossy := func(ctx context.Context, s *link.Stream, f wire.Forward) {
			calls.Add(1)
			cutting(ctx, s, f)
		}
		s := newSite(t, w, []fleet.Endpoint{w.agent("w1", 8, lossy), w.agent("w2", 8, lossy)})
		r := requireCall(t, s, http.MethodPost, "/w/previews/a", "x")
		assert.EqualValues(t, 1, calls.Load())
		assertLost(t, r, http.StatusBadGateway, outcome.ConnectionLost)
	})
	t.Run("a refusal is retried elsewhere", func(t *testing.T) {
		w := newWorld(t)
		var refusals atomic.Int64
		once := func(ctx context.Context, s *link.Stream, f wire.Forward) {
			if refusals.Add(1) == 1 {
				refusing(outcome.StaleIncarnation, 0)(ctx, s, f)
				return
			}
			answering(ctx, s, f)
		}
		s := newSite(t, w, []fleet.Endpoint{w.agent("w1", 8, once), w.agent("w2", 8, once)})
		assertRan(t, requireCall(t, s, http.MethodPost, "/w/previews/a", "x"), "x")
		assertIdle(t, s)
	})
	t.Run("no share of traffic, no retry", func(t *testing.T) {
		w := newWorld(t)
		var calls atomic.Int64
		lossy := func(ctx context.Context, s *link.Stream, f wire.Forward) {
			calls.Add(1)
			cutting(ctx, s, f)
		}
		s := newSite(t, w, []fleet.Endpoint{w.agent("w1", 8, lossy), w.agent("w2", 8, lossy)},
			entry.WithRetries(0, 3, time.Millisecond))
		requireCall(t, s, http.MethodGet, "/w/previews/a", "")
		assert.EqualValues(t, 1, calls.Load())
	})
	t.Run("a full endpoint costs no share of traffic", func(t *testing.T) {
		w := newWorld(t)
		var calls atomic.Int64
		once := func(ctx context.Context, s *link.Stream, f wire.Forward) {
			if calls.Add(1) == 1 {
				refusing(outcome.NoSlot, 0)(ctx, s, f)
				return
			}
			answering(ctx, s, f)
		}
		s := newSite(t, w, []fleet.Endpoint{w.agent("w1", 8, once), w.agent("w2", 8, once)},
			entry.WithRetries(0, 2, time.Millisecond))
		assertRan(t, requireCall(t, s, http.MethodPost, "/w/previews/a", "x"), "x")
		assert.EqualValues(t, 2, calls.Load())
		assertIdle(t, s)
	})
	t.Run("full endpoints are tried as often as attempts allow", func(t *testing.T) {
		w := newWorld(t)
		var calls atomic.Int64
		full := func(ctx context.Context, s *link.Stream, f wire.Forward) {
			calls.Add(1)
			refusing(outcome.NoSlot, 0)(ctx, s, f)
		}
		s := newSite(t, w, []fleet.Endpoint{w.agent("w1", 8, full), w.agent("w2", 8, full), w.agent("w3", 8, full)},
			entry.WithRetries(0, 2, time.Millisecond))
		assertRefused(t, requireCall(t, s, http.MethodGet, "/w/previews/a", ""), http.StatusServiceUnavailable, outcome.NoSlot)
		assert.EqualValues(t, 2, calls.Load())
	})
}

// Guards against an endpoint that a stale load figure keeps out of use for good.
func TestLoadFigures(t *testing.T) {
	w := newWorld(t)
	var calls atomic.Int64
	full := func(ctx context.Context, s *link.Stream, f wire.Forward) {
		if calls.Add(1) == 1 {
			refusing(outcome.NoSlot, 100)(ctx, s, f)
			return
		}
		answering(ctx, s, f)
	}
	s := newSite(t, w, []fleet.Endpoint{w.agent("w1", 8, full)})
	assertRefused(t, requireCall(t, s, http.MethodGet, "/w/previews/a", ""), http.StatusServiceUnavailable, outcome.NoSlot)
	assertRan(t, requireCall(t, s, http.MethodGet, "/w/previews/a", ""), "")
	assertIdle(t, s)
}

// Guards against queued requests that leak tickets, run after their caller left, or report the wrong reason.
func TestQueue(t *testing.T) {
	held := make(chan struct{})
	arrived := make(chan string, 100)
	holding := func(ctx context.Context, s *link.Stream, f wire.Forward) {
		arrived <- f.Request().Target()
		select {
		case <-held:
		case <-ctx.Done():
		}
		answering(ctx, s, f)
	}
	w := newWorld(t)
	s := newSite(t, w, []fleet.Endpoint{w.agent("w1", 1, holding)}, entry.WithQueueWait(patience))
	first := make(chan reply, 1)
	go func() { first <- call(s, "/w/previews/first") }()
	assert.Equal(t, "/first", requireReceive(t, arrived))
	t.Run("deadline in the queue", func(t *testing.T) {
		r := requireCall(t, s, http.MethodGet, "/w/previews/late", "", "Rosemarywind-Deadline-Ms", "50")
		assertRefused(t, r, http.StatusGatewayTimeout, outcome.DeadlineExceeded)
	})
	t.Run("a caller that hangs up", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := s.call(ctx, http.MethodPost, "/w/previews/gone", "x")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		requireLogged(t, s.log, "the caller gave up before the request was sent")
	})
	t.Run("the rest runs in order and all counts return to zero", func(t *testing.T) {
		second := make(chan reply, 1)
		go func() { second <- call(s, "/w/scans/second") }()
		close(held)
		assertRan(t, requireReceive(t, first), "")
		assertRan(t, requireReceive(t, second), "")
		assert.Equal(t, "/second", requireReceive(t, arrived))
		assertIdle(t, s)
	})
}

func call(s *site, path string) reply {
	r, _ := s.call(context.Background(), http.MethodGet, path, "")
	return r
}

// Guards against a leader that has just taken over and empties the fleet of each entry.
func TestLeaderChange(t *testing.T) {
	w := newWorld(t)
	e := w.agent("w1", 8, answering)
	s := newSite(t, w, []fleet.Endpoint{e})
	s.ledger.update.Publish(fleet.NewUpdate(true, 2, nil, nil))
	requireSection(t, s.entry.Board().Fleet(), func(f *fleet.Snapshot) bool { return f.Revision() == 2 })
	assertRan(t, requireCall(t, s, http.MethodGet, "/w/previews/a", ""), "")
	s.ledger.update.Publish(fleet.NewUpdate(false, 3, nil, nil))
	requireSection(t, s.entry.Board().Fleet(), func(f *fleet.Snapshot) bool { return f.Len() == 0 })
}

// Guards against callers behind a dead agent that wait for each other's dials.
func TestDeadAgent(t *testing.T) {
	w := newWorld(t)
	dead := fleet.NewEndpoint(fleet.NewWorker("w1", "r1", "az1", "rack1"), "127.0.0.1:9", 8, 64, 1)
	s := newSite(t, w, []fleet.Endpoint{dead}, entry.WithRetries(0, 1, 0))
	begin := time.Now()
	got := make(chan reply, 8)
	for range cap(got) {
		go func() { got <- call(s, "/w/previews/a") }()
	}
	for range cap(got) {
		assertRefused(t, requireReceive(t, got), http.StatusServiceUnavailable, outcome.ConnectionLost)
	}
	assert.Less(t, time.Since(begin), 3*time.Second)
	assertIdle(t, s)
}

// Guards against answers whose framing the entry changes.
func TestAnswers(t *testing.T) {
	w := newWorld(t)
	s := newSite(t, w, []fleet.Endpoint{w.agent("w1", 8, func(_ context.Context, s *link.Stream, f wire.Forward) {
		status, _ := strconv.Atoi(f.Request().Target()[1:])
		headers := request.Headers{}
		if f.Request().Method() == http.MethodHead {
			headers["Content-Length"] = []string{"12"}
		}
		_ = wire.WriteAnswer(s, f.Request().ID(), request.NewAnswered(status, headers, nil), 0)
	})})
	t.Run("head", func(t *testing.T) {
		r := requireCall(t, s, http.MethodHead, "/w/previews/200", "")
		assert.Equal(t, "12", r.header.Get("Content-Length"))
	})
	t.Run("no content", func(t *testing.T) {
		r := requireCall(t, s, http.MethodGet, "/w/previews/204", "")
		assert.Equal(t, http.StatusNoContent, r.status)
		assert.Empty(t, r.header.Values("Content-Length"))
	})
	t.Run("a status that HTTP does not have", func(t *testing.T) {
		r := requireCall(t, s, http.MethodPost, "/w/previews/0", "")
		assertLost(t, r, http.StatusBadGateway, outcome.AnswerTruncated)
	})
}

// assertIdle checks that the entry holds no place in a limit, a queue or an endpoint.
func assertIdle(t testing.TB, s *site) {
	t.Helper()
	for _, name := range []string{"previews", "scans"} {
		assert.Zero(t, s.entry.InFlight(name), name)
		assert.Zero(t, s.entry.Queued(name), name)
	}
	for _, e := range s.entry.Board().Fleet().Load().All() {
		assert.Zero(t, e.Load().OwnInFlight(), e.Name())
	}
	assert.Zero(t, s.entry.BufferedBytes())
}
