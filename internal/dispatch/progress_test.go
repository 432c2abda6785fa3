package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

var start = time.Unix(1_800_000_000, 0)

// newProgress returns the progress of a run with a sample every half second.
func newProgress(percents ...int) *progress {
	p := &progress{}
	for i, n := range percents {
		p.addSample(start.Add(time.Duration(i)*500*time.Millisecond), n)
	}
	return p
}

func assertExpectedEnd(t *testing.T, p *progress, after time.Duration) {
	t.Helper()
	at, ok := p.expectedEnd()
	assert.True(t, ok)
	assert.WithinDuration(t, start.Add(after), at, 50*time.Millisecond)
}

// Guards against expected ends that follow the declared duration instead of the reported progress.
func TestProgress(t *testing.T) {
	t.Run("steady", func(t *testing.T) { assertExpectedEnd(t, newProgress(0, 10, 20, 30), 5*time.Second) })
	t.Run("resumed from a checkpoint", func(t *testing.T) { assertExpectedEnd(t, newProgress(50, 60, 70), 2500*time.Millisecond) })
	t.Run("rate that has dropped", func(t *testing.T) { assertExpectedEnd(t, newProgress(0, 20, 40, 42, 44, 46), 16*time.Second) })
	t.Run("unknown after one sample", func(t *testing.T) {
		_, ok := newProgress(10).expectedEnd()
		assert.False(t, ok)
	})
	t.Run("unknown for a stalled run", func(t *testing.T) {
		_, ok := newProgress(10, 10, 10).expectedEnd()
		assert.False(t, ok)
	})
}

// Guards against durations that are shorter than the time between two reports, or 0, because progress jumps.
func TestProgressThatJumps(t *testing.T) {
	for name, percents := range map[string][]int{
		"back":                {60, 20, 30, 40},
		"back to nothing":     {50, 0, 0, 0},
		"complete at once":    {0, 100, 100},
		"back from complete":  {100, 0, 10, 20},
		"to and fro":          {0, 100, 0, 100, 0, 100},
		"complete from begin": {100, 100, 100},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProgress()
			for i, n := range percents {
				p.addSample(start.Add(time.Duration(i)*500*time.Millisecond), n)
				if d, ok := p.duration(); ok {
					assert.GreaterOrEqual(t, d, minRateWindow)
				}
				if at, ok := p.expectedEnd(); ok {
					assert.False(t, at.Before(start))
				}
				if d, observed, ok := p.window.duration(); ok {
					assert.GreaterOrEqual(t, d, minRateWindow)
					assert.Positive(t, observed)
				}
			}
		})
	}
}

// Guards against a leak of the progress of runs whose jobs no longer exist.
func TestProgressForgotten(t *testing.T) {
	c := NewCore(DefaultTiming(), 1, start)
	c.progress[run.NewID(batch.NewTaskID("gone", 0, 0, 0), 1)] = newProgress(0, 10)
	c.Step(start.Add(time.Second), batch.NewState(nil))
	assert.Len(t, c.progress, 1)
	c.Step(start.Add(forgetInterval+time.Second), batch.NewState(nil))
	assert.Empty(t, c.progress)
}
