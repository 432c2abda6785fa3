package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

var start = time.Unix(1_800_000_000, 0)

// watched returns the progress of a run that was so far at each half second.
func watched(percents ...int) *progress {
	p := &progress{}
	for i, n := range percents {
		p.observe(start.Add(time.Duration(i)*500*time.Millisecond), n)
	}
	return p
}

func assertEnds(t *testing.T, p *progress, after time.Duration) {
	t.Helper()
	at, ok := p.ends()
	assert.True(t, ok)
	assert.WithinDuration(t, start.Add(after), at, 50*time.Millisecond)
}

// Guards against runs that are taken to end when they declared it, although their workers tell how far they are.
func TestProgress(t *testing.T) {
	t.Run("steady", func(t *testing.T) { assertEnds(t, watched(0, 10, 20, 30), 5*time.Second) })
	t.Run("resumed in the middle", func(t *testing.T) { assertEnds(t, watched(50, 60, 70), 2500*time.Millisecond) })
	t.Run("slower since a while", func(t *testing.T) { assertEnds(t, watched(0, 20, 40, 42, 44, 46), 16*time.Second) })
	t.Run("one sample tells nothing", func(t *testing.T) {
		_, ok := watched(10).ends()
		assert.False(t, ok)
	})
	t.Run("one that stands still has no end", func(t *testing.T) {
		_, ok := watched(10, 10, 10).ends()
		assert.False(t, ok)
	})
}

// Guards against progress that is kept for good of runs whose jobs are gone.
func TestProgressForgotten(t *testing.T) {
	c := NewCore(DefaultTiming(), 1, start)
	c.progress[run.NewID(batch.NewTaskID("gone", 0, 0, 0), 1)] = watched(0, 10)
	c.Step(start.Add(time.Second), batch.NewState(nil))
	assert.Len(t, c.progress, 1)
	c.Step(start.Add(forgetInterval+time.Second), batch.NewState(nil))
	assert.Empty(t, c.progress)
}
