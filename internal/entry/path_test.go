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

// Guards against a refusal of the last attempt that hides an earlier attempt which may have run, and against retries
// that are unsafe or exceed the budget.
func TestRetries(t *testing.T) {
	t.Run("a loss followed by a refusal may have run", func(t *testing.T) {
		env := newTestEnv(t)
		var calls atomic.Int64
		lossy := func(ctx context.Context, s *link.Stream, f wire.Forward) {
			if calls.Add(1) == 1 {
				dropStream(ctx, s, f)
				return
			}
			refuseWith(outcome.NoSlot, 0)(ctx, s, f)
		}
		te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, lossy), env.fakeAgent("w2", 8, lossy)})
		r := requireCall(t, te, http.MethodGet, "/w/previews/a", "")
		assert.EqualValues(t, 2, calls.Load())
		assertLost(t, r, http.StatusBadGateway, outcome.NoSlot)
	})
	t.Run("a lost request that is not idempotent is not retried", func(t *testing.T) {
		env := newTestEnv(t)
		var calls atomic.Int64
		lossy := func(ctx context.Context, s *link.Stream, f wire.Forward) {
			calls.Add(1)
			dropStream(ctx, s, f)
		}
		te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, lossy), env.fakeAgent("w2", 8, lossy)})
		r := requireCall(t, te, http.MethodPost, "/w/previews/a", "x")
		assert.EqualValues(t, 1, calls.Load())
		assertLost(t, r, http.StatusBadGateway, outcome.ConnectionLost)
	})
	t.Run("a refused request is retried at another endpoint", func(t *testing.T) {
		env := newTestEnv(t)
		var refusals atomic.Int64
		once := func(ctx context.Context, s *link.Stream, f wire.Forward) {
			if refusals.Add(1) == 1 {
				refuseWith(outcome.StaleIncarnation, 0)(ctx, s, f)
				return
			}
			echo(ctx, s, f)
		}
		te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, once), env.fakeAgent("w2", 8, once)})
		assertRan(t, requireCall(t, te, http.MethodPost, "/w/previews/a", "x"), "x")
		assertIdle(t, te)
	})
	t.Run("a share of zero allows no retries after losses", func(t *testing.T) {
		env := newTestEnv(t)
		var calls atomic.Int64
		lossy := func(ctx context.Context, s *link.Stream, f wire.Forward) {
			calls.Add(1)
			dropStream(ctx, s, f)
		}
		te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, lossy), env.fakeAgent("w2", 8, lossy)},
			entry.WithRetries(0, 3, time.Millisecond))
		requireCall(t, te, http.MethodGet, "/w/previews/a", "")
		assert.EqualValues(t, 1, calls.Load())
	})
	t.Run("a share of zero allows retries after full endpoints", func(t *testing.T) {
		env := newTestEnv(t)
		var calls atomic.Int64
		once := func(ctx context.Context, s *link.Stream, f wire.Forward) {
			if calls.Add(1) == 1 {
				refuseWith(outcome.NoSlot, 0)(ctx, s, f)
				return
			}
			echo(ctx, s, f)
		}
		te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, once), env.fakeAgent("w2", 8, once)},
			entry.WithRetries(0, 2, time.Millisecond))
		assertRan(t, requireCall(t, te, http.MethodPost, "/w/previews/a", "x"), "x")
		assert.EqualValues(t, 2, calls.Load())
		assertIdle(t, te)
	})
	t.Run("retries after full endpoints are bounded by the attempts", func(t *testing.T) {
		env := newTestEnv(t)
		var calls atomic.Int64
		full := func(ctx context.Context, s *link.Stream, f wire.Forward) {
			calls.Add(1)
			refuseWith(outcome.NoSlot, 0)(ctx, s, f)
		}
		te := newEntryWithLeader(t, env, []fleet.Endpoint{
			env.fakeAgent("w1", 8, full), env.fakeAgent("w2", 8, full), env.fakeAgent("w3", 8, full),
		}, entry.WithRetries(0, 2, time.Millisecond))
		assertRefused(t, requireCall(t, te, http.MethodGet, "/w/previews/a", ""),
			http.StatusServiceUnavailable, outcome.NoSlot)
		assert.EqualValues(t, 2, calls.Load())
	})
}

// Guards against an endpoint that gets no requests ever again because of an outdated count of requests in flight.
func TestLoadFigures(t *testing.T) {
	env := newTestEnv(t)
	var calls atomic.Int64
	full := func(ctx context.Context, s *link.Stream, f wire.Forward) {
		if calls.Add(1) == 1 {
			refuseWith(outcome.NoSlot, 100)(ctx, s, f)
			return
		}
		echo(ctx, s, f)
	}
	te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, full)})
	assertRefused(t, requireCall(t, te, http.MethodGet, "/w/previews/a", ""),
		http.StatusServiceUnavailable, outcome.NoSlot)
	assertRan(t, requireCall(t, te, http.MethodGet, "/w/previews/a", ""), "")
	assertIdle(t, te)
}

// Guards against queued requests that leak permits, run after their caller has disconnected, or get the wrong reason.
func TestQueue(t *testing.T) {
	held := make(chan struct{})
	arrived := make(chan string, 100)
	holding := func(ctx context.Context, s *link.Stream, f wire.Forward) {
		arrived <- f.Request().Target()
		select {
		case <-held:
		case <-ctx.Done():
		}
		echo(ctx, s, f)
	}
	env := newTestEnv(t)
	te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 1, holding)}, entry.WithQueueWait(testTimeout))
	first := make(chan reply, 1)
	go func() { first <- call(te, "/w/previews/first") }()
	assert.Equal(t, "/first", requireReceive(t, arrived))
	t.Run("a request whose deadline passes in the queue is refused", func(t *testing.T) {
		r := requireCall(t, te, http.MethodGet, "/w/previews/late", "", "Rosemarywind-Deadline-Ms", "50")
		assertRefused(t, r, http.StatusGatewayTimeout, outcome.DeadlineExceeded)
	})
	t.Run("a request whose caller disconnects is not sent", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := te.call(ctx, http.MethodPost, "/w/previews/gone", "x")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		requireLogged(t, te.log, "the caller gave up before the request was sent")
	})
	t.Run("the others run in order and all counts return to zero", func(t *testing.T) {
		second := make(chan reply, 1)
		go func() { second <- call(te, "/w/scans/second") }()
		close(held)
		assertRan(t, requireReceive(t, first), "")
		assertRan(t, requireReceive(t, second), "")
		assert.Equal(t, "/second", requireReceive(t, arrived))
		assertIdle(t, te)
	})
}

func call(te *testEntry, path string) reply {
	r, _ := te.call(context.Background(), http.MethodGet, path, "")
	return r
}

// Guards against an entry that drops all endpoints because a new leader does not list them yet. They are dropped once
// the announcement lease has expired.
func TestLeaderChange(t *testing.T) {
	env := newTestEnv(t)
	e := env.fakeAgent("w1", 8, echo)
	te := newEntryWithLeader(t, env, []fleet.Endpoint{e})
	te.leader.update.Publish(fleet.NewUpdate(true, 2, nil, nil))
	requirePublished(t, te.entry.Board().Fleet(), func(f *fleet.Snapshot) bool { return f.Revision() == 2 })
	assertRan(t, requireCall(t, te, http.MethodGet, "/w/previews/a", ""), "")
	te.leader.update.Publish(fleet.NewUpdate(false, 3, nil, nil))
	requirePublished(t, te.entry.Board().Fleet(), func(f *fleet.Snapshot) bool { return f.Len() == 0 })
}

// Guards against requests to an unreachable agent that wait for each other's dials to time out.
func TestDeadAgent(t *testing.T) {
	env := newTestEnv(t)
	dead := fleet.NewEndpoint(fleet.NewWorker("w1", "r1", "az1", "rack1"), "127.0.0.1:9", 8, 64, 1)
	te := newEntryWithLeader(t, env, []fleet.Endpoint{dead}, entry.WithRetries(0, 1, 0))
	start := time.Now()
	got := make(chan reply, 8)
	for range cap(got) {
		go func() { got <- call(te, "/w/previews/a") }()
	}
	for range cap(got) {
		assertRefused(t, requireReceive(t, got), http.StatusServiceUnavailable, outcome.ConnectionLost)
	}
	assert.Less(t, time.Since(start), 3*time.Second)
	assertIdle(t, te)
}

// Guards against an entry that changes the framing of answers or forwards an invalid status.
func TestAnswers(t *testing.T) {
	env := newTestEnv(t)
	te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, func(
		_ context.Context, s *link.Stream, f wire.Forward,
	) {
		status, _ := strconv.Atoi(f.Request().Target()[1:])
		headers := request.Headers{}
		if f.Request().Method() == http.MethodHead {
			headers["Content-Length"] = []string{"12"}
		}
		_ = wire.WriteAnswer(s, f.Request().ID(), request.NewAnswered(status, headers, nil), 0)
	})})
	t.Run("head", func(t *testing.T) {
		r := requireCall(t, te, http.MethodHead, "/w/previews/200", "")
		assert.Equal(t, "12", r.header.Get("Content-Length"))
	})
	t.Run("no content", func(t *testing.T) {
		r := requireCall(t, te, http.MethodGet, "/w/previews/204", "")
		assert.Equal(t, http.StatusNoContent, r.status)
		assert.Empty(t, r.header.Values("Content-Length"))
	})
	t.Run("an invalid status is not forwarded", func(t *testing.T) {
		r := requireCall(t, te, http.MethodPost, "/w/previews/0", "")
		assertLost(t, r, http.StatusBadGateway, outcome.AnswerTruncated)
	})
}

// assertIdle checks that no request is in flight or queued, no slot of an endpoint is in use, and no bytes are
// reserved.
func assertIdle(t testing.TB, te *testEntry) {
	t.Helper()
	for _, name := range []string{"previews", "scans"} {
		assert.Zero(t, te.entry.InFlight(name), name)
		assert.Zero(t, te.entry.Queued(name), name)
	}
	for _, e := range te.entry.Board().Fleet().Load().All() {
		assert.Zero(t, e.Load().OwnInFlight(), e.Name())
	}
	assert.Zero(t, te.entry.BufferedBytes())
}
