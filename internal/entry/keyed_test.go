package entry_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/impair"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Guards against resends whose result does not match the outcome of the first request.
func TestKeyed(t *testing.T) {
	env := newTestEnv(t)
	entered, held := make(chan struct{}, 1), make(chan struct{})
	te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, func(
		ctx context.Context, s *link.Stream, f wire.Forward,
	) {
		if f.Request().Target() == "/held" {
			entered <- struct{}{}
			<-held
		}
		echo(ctx, s, f)
	})})
	const key = "Idempotency-Key"
	t.Run("a small answer is kept", func(t *testing.T) {
		for range 2 {
			assertRan(t, requireCall(t, te, http.MethodPost, "/w/previews/a", "tape", key, "small"), "tape")
		}
	})
	t.Run("a large answer is not kept", func(t *testing.T) {
		large := strings.Repeat("x", 5<<10)
		assertRan(t, requireCall(t, te, http.MethodPost, "/w/previews/a", large, key, "large"), large)
		r := requireCall(t, te, http.MethodPost, "/w/previews/a", large, key, "large")
		assert.Equal(t, http.StatusGone, r.status)
		assert.Equal(t, outcome.Ran, r.outcome)
	})
	t.Run("another payload under the same key is refused", func(t *testing.T) {
		r := requireCall(t, te, http.MethodPost, "/w/previews/a", "reel", key, "small")
		assertRefused(t, r, http.StatusUnprocessableEntity, outcome.KeyReused)
	})
	t.Run("the same key in another workspace is independent", func(t *testing.T) {
		assertRan(t, requireCall(t, te, http.MethodPost, "/w/scans/a", "reel", key, "small"), "reel")
	})
	t.Run("the ending is recorded after the caller disconnects", func(t *testing.T) {
		settled := make(chan registry.SettleKey, 1)
		te.leader.setFault(func(c registry.Command) fault {
			if c, ok := c.(registry.SettleKey); ok {
				settled <- c
			}
			return noFault
		})
		ctx, disconnect := context.WithCancel(t.Context())
		callErr := make(chan error, 1)
		go func() {
			_, err := te.call(ctx, http.MethodPost, "/w/previews/held", "x", key, "held")
			callErr <- err
		}()
		requireReceive(t, entered)
		r := requireCall(t, te, http.MethodPost, "/w/previews/held", "x", key, "held")
		assertLost(t, r, http.StatusConflict, outcome.KeyInProgress)
		assert.NotEmpty(t, r.header.Get("Retry-After"))
		disconnect()
		require.Error(t, requireReceive(t, callErr))
		close(held)
		assert.Equal(t, outcome.Ran, requireReceive(t, settled).Result().Outcome())
		assertRan(t, requireCall(t, te, http.MethodPost, "/w/previews/held", "x", key, "held"), "x")
	})
	t.Run("a claim whose outcome is unknown is released", func(t *testing.T) {
		var first string
		te.leader.setFault(func(c registry.Command) fault {
			k, ok := c.(registry.ClaimKey)
			if ok && first == "" {
				first = k.AttemptID()
			}
			if ok && k.AttemptID() == first {
				return unknownError
			}
			return noFault
		})
		r := requireCall(t, te, http.MethodPost, "/w/previews/a", "x", key, "unknown")
		assertRefused(t, r, http.StatusServiceUnavailable, outcome.ControlUnavailable)
		r = requireCall(t, te, http.MethodPost, "/w/previews/a", "x", key, "unknown")
		assertLost(t, r, http.StatusConflict, outcome.KeyInProgress)
		// The entry dispatched nothing under the first claim, so the key becomes free again.
		released := make(chan registry.SettleKey, 1)
		te.leader.setFault(func(c registry.Command) fault {
			if k, ok := c.(registry.SettleKey); ok && k.Result().Outcome() == outcome.NotRun {
				released <- k
			}
			return noFault
		})
		requireReceive(t, released)
		te.leader.setFault(nil)
		assertRan(t, requireCall(t, te, http.MethodPost, "/w/previews/a", "x", key, "unknown"), "x")
	})
	assertIdle(t, te)
}

// Guards against a deadline that is not passed on to the agent.
func TestDeadlineTravels(t *testing.T) {
	env := newTestEnv(t)
	remaining := make(chan time.Duration, 1)
	te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, func(
		ctx context.Context, _ *link.Stream, f wire.Forward,
	) {
		remaining <- time.Until(f.Request().Deadline())
		<-ctx.Done()
	})})
	start := time.Now()
	r := requireCall(t, te, http.MethodPost, "/w/previews/a", "x", "Rosemarywind-Deadline-Ms", "400")
	assertLost(t, r, http.StatusGatewayTimeout, outcome.DeadlineExceeded)
	assert.Less(t, time.Since(start), time.Second)
	left := requireReceive(t, remaining)
	assert.LessOrEqual(t, left, 400*time.Millisecond)
	assert.Greater(t, left, 200*time.Millisecond)
	assertIdle(t, te)
}

// Guards against requests that hang or get a wrong outcome when the packets of a connection to an agent are all lost
// from some time on.
func TestSilentConnection(t *testing.T) {
	env := newTestEnv(t)
	entered := make(chan struct{}, 10)
	var calls atomic.Int64
	e := env.fakeAgent("w1", 8, func(ctx context.Context, s *link.Stream, f wire.Forward) {
		if calls.Add(1); f.Request().Target() == "/held" {
			entered <- struct{}{}
			<-ctx.Done()
			return
		}
		echo(ctx, s, f)
	})
	relay, err := impair.NewRelay(e.Address())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	relayed := fleet.NewEndpoint(e.Worker(), relay.Address(), e.Slots(), e.Connections(), e.Incarnation())
	healthy := env.fakeAgent("w2", 8, echo)
	te := newEntryWithLeader(t, env, []fleet.Endpoint{relayed})
	idempotent, other := make(chan reply, 1), make(chan reply, 1)
	go func() { idempotent <- call(te, "/w/previews/held") }()
	go func() {
		r, _ := te.call(context.Background(), http.MethodPost, "/w/previews/held", "")
		other <- r
	}()
	requireReceive(t, entered)
	requireReceive(t, entered)
	te.leader.update.Publish(fleet.NewUpdate(false, 2, []fleet.Endpoint{relayed, healthy}, nil))
	requirePublished(t, te.entry.Board().Fleet(), func(f *fleet.Snapshot) bool { return f.Len() == 2 })
	relay.DropFlows()
	start := time.Now()
	assertRan(t, requireReceive(t, idempotent), "")
	assertLost(t, requireReceive(t, other), http.StatusBadGateway, outcome.ConnectionLost)
	assert.Less(t, time.Since(start), 3*time.Second)
	te.leader.update.Publish(fleet.NewUpdate(false, 3, nil, []string{"w2"}))
	requirePublished(t, te.entry.Board().Fleet(), func(f *fleet.Snapshot) bool { return f.Len() == 1 })
	assertRan(t, requireCall(t, te, http.MethodPost, "/w/previews/a", "again"), "again")
	assert.Equal(t, 2, relay.Flows())
	assertIdle(t, te)
}
