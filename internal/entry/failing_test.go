package entry_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// Guards against an endpoint that fails every request immediately, always looks idle and therefore gets most requests.
func TestFailingEndpoint(t *testing.T) {
	env := newTestEnv(t)
	var calls atomic.Int64
	failing := func(_ context.Context, s *link.Stream, f wire.Forward) {
		calls.Add(1)
		_ = wire.WriteAnswer(s, f.Request().ID(), request.NewAnswered(http.StatusInternalServerError, nil, nil), 0)
	}
	pause := entry.WithQuarantine(5, time.Minute)
	t.Run("quarantined if a healthy endpoint is left", func(t *testing.T) {
		calls.Store(0)
		te := newEntryWithLeader(t, env,
			[]fleet.Endpoint{env.fakeAgent("w1", 8, failing), env.fakeAgent("w2", 8, echo)}, pause)
		assertServed(t, te, 100)
		assert.EqualValues(t, 5, calls.Load())
	})
	t.Run("used if it is the only endpoint", func(t *testing.T) {
		calls.Store(0)
		te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, failing)}, pause)
		assertServed(t, te, 20)
		assert.EqualValues(t, 20, calls.Load())
	})
}

// assertServed checks that each of n requests gets an answer from an endpoint, and that the entry is idle afterwards.
func assertServed(t *testing.T, te *testEntry, n int) {
	t.Helper()
	for range n {
		assertRan(t, requireCall(t, te, http.MethodGet, "/w/previews/a", ""), "")
	}
	assertIdle(t, te)
}
