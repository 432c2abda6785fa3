package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a job with nothing running while all workers that fit are in quarantine, because tasks failed there by
// their own fault.
func TestAllWorkersInQuarantine(t *testing.T) {
	newFailing := func(t *testing.T, failures int) *crashFixture {
		f := newCrashFixture(t, "a", "b")
		for range failures {
			for _, agent := range []string{"a", "b"} {
				f.core.host(agent).health.recordFailure(f.now)
			}
		}
		return f
	}
	t.Run("tried after a wait", func(t *testing.T) {
		f := newFailing(t, 5)
		f.pass(2500 * time.Millisecond)
		assert.Positive(t, f.starts)
	})
	t.Run("not tried at once", func(t *testing.T) {
		f := newFailing(t, 5)
		f.pass(time.Second)
		assert.Zero(t, f.starts)
	})
}
