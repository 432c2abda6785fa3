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

// Guards against an endpoint that fails everything at once and, since it always looks idle, gets the requests.
func TestFailingEndpoint(t *testing.T) {
	w := newWorld(t)
	var calls atomic.Int64
	failing := func(_ context.Context, s *link.Stream, f wire.Forward) {
		calls.Add(1)
		_ = wire.WriteAnswer(s, f.Request().ID(), request.NewAnswered(http.StatusInternalServerError, nil, nil), 0)
	}
	pause := entry.WithSetAside(5, time.Minute)
	t.Run("set aside beside a sound one", func(t *testing.T) {
		calls.Store(0)
		s := newSite(t, w, []fleet.Endpoint{w.agent("w1", 8, failing), w.agent("w2", 8, answering)}, pause)
		assertServed(t, s, 100)
		assert.EqualValues(t, 5, calls.Load())
	})
	t.Run("used when it is the only one", func(t *testing.T) {
		calls.Store(0)
		s := newSite(t, w, []fleet.Endpoint{w.agent("w1", 8, failing)}, pause)
		assertServed(t, s, 20)
		assert.EqualValues(t, 20, calls.Load())
	})
}

// assertServed checks that each of n requests gets an answer of an endpoint, and that nothing is left behind.
func assertServed(t *testing.T, s *site, n int) {
	t.Helper()
	for range n {
		assertRan(t, requireCall(t, s, http.MethodGet, "/w/previews/a", ""), "")
	}
	assertIdle(t, s)
}
