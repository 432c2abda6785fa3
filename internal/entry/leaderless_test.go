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

// Guards against keyed requests that are refused during a change of leader although the next leader is known before
// their claims time out.
func TestLeaderless(t *testing.T) {
	env := newTestEnv(t)
	te := newEntryWithLeader(t, env, []fleet.Endpoint{env.fakeAgent("w1", 8, echo)})
	te.leader.notLeading.Publish(true)
	requirePublished(t, te.entry.Board().Control(), func(c entry.Control) bool { return c.Leader() == "" })
	t.Run("refused if no leader is known in time", func(t *testing.T) {
		start := time.Now()
		r := requireCall(t, te, http.MethodPost, "/w/previews/a", "x", "Idempotency-Key", "late")
		assertRefused(t, r, http.StatusServiceUnavailable, outcome.ControlUnavailable)
		assert.GreaterOrEqual(t, time.Since(start), time.Second)
	})
	t.Run("served if a leader is known in time", func(t *testing.T) {
		got := make(chan reply, 1)
		go func() {
			r, _ := te.call(env.ctx, http.MethodPost, "/w/previews/a", "x", "Idempotency-Key", "early")
			got <- r
		}()
		require.Eventually(t, func() bool { return te.entry.InFlight("previews") == 1 }, testTimeout, time.Millisecond)
		te.leader.notLeading.Publish(false)
		assertRan(t, requireReceive(t, got), "x")
	})
	assertIdle(t, te)
}
