package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// assertObserved asserts the duration that the progress of a run shows.
func assertObserved(t *testing.T, p *progress, want time.Duration) {
	t.Helper()
	d, _, ok := p.window.duration()
	assert.True(t, ok)
	assert.InEpsilon(t, want.Seconds(), d.Seconds(), 0.1)
}

// Guards against workers that seem slow because a run waited there for its gang, for its checkpoint or for the end of the
// other members. The progress is that of each half second.
func TestObservedDuration(t *testing.T) {
	t.Run("two samples", func(t *testing.T) { assertObserved(t, newProgress(0, 20), 2500*time.Millisecond) })
	t.Run("steady", func(t *testing.T) { assertObserved(t, newProgress(0, 10, 20, 30), 5*time.Second) })
	t.Run("waits for its gang", func(t *testing.T) { assertObserved(t, newProgress(0, 0, 0, 3, 13, 23, 33), 5*time.Second) })
	t.Run("waits at the end", func(t *testing.T) { assertObserved(t, newProgress(0, 40, 80, 100, 100, 100), 1250*time.Millisecond) })
	t.Run("loads a checkpoint", func(t *testing.T) { assertObserved(t, newProgress(50, 50, 53, 63, 73), 5*time.Second) })
	t.Run("unknown while it loads a checkpoint", func(t *testing.T) {
		_, _, ok := newProgress(50, 50, 53).window.duration()
		assert.False(t, ok)
	})
	t.Run("unknown without progress", func(t *testing.T) {
		_, _, ok := newProgress(0, 0, 0).window.duration()
		assert.False(t, ok)
	})
	t.Run("unknown after little progress", func(t *testing.T) {
		_, _, ok := newProgress(0, 2).window.duration()
		assert.False(t, ok)
	})
}
