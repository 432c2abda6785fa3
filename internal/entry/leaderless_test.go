package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Guards against keyed requests that are refused during a change of leader although the next one is known in time.
func TestLeaderless(t *testing.T) {
	w := newWorld(t)
	s := newSite(t, w, []fleet.Endpoint{w.agent("w1", 8, answering)})
	s.ledger.away.Publish(true)
	requireSection(t, s.entry.Board().Control(), func(c entry.Control) bool { return c.Leader() == "" })
	t.Run("no leader in time", func(t *testing.T) {
		begun := time.Now()
		r := requireCall(t, s, http.MethodPost, "/w/previews/a", "x", "Idempotency-Key", "late")
		assertRefused(t, r, http.StatusServiceUnavailable, outcome.ControlAway)
		assert.GreaterOrEqual(t, time.Since(begun), time.Second)
	})
	t.Run("a leader in time", func(t *testing.T) {
		got := make(chan reply, 1)
		go func() {
			r, _ := s.call(w.ctx, http.MethodPost, "/w/previews/a", "x", "Idempotency-Key", "early")
			got <- r
		}()
		require.Eventually(t, func() bool { return s.entry.InFlight("previews") == 1 }, patience, time.Millisecond)
		s.ledger.away.Publish(false)
		assertRan(t, requireReceive(t, got), "x")
	})
	assertIdle(t, s)
}
