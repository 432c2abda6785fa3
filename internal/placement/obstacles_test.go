package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
)

// obstacles returns the obstacles that a decision names for the only waiting step.
func (f *fixture) obstacles(after time.Duration) map[placement.Obstacle]int {
	f.t.Helper()
	v := placement.NewView(f.now, f.state, f.workers, f.stopped, remoteFactor)
	waits := placement.Decide(v.WithExplanations(1, after)).Waits()
	require.NotEmpty(f.t, waits)
	return waits[0].Obstacles()
}

// Guards against a waiting step for which the plan counts no obstacle, or another one than the worker has.
func TestObstacles(t *testing.T) {
	submit := func(t *testing.T, s batch.Step) *fixture {
		f := newFixture(t)
		f.submit("full", scans, "b", batch.NewStep(2, gpus(8), time.Minute, batch.WithLabel("r0")))
		f.decide()
		f.submit("j", patient, "a", s)
		return f
	}
	t.Run("label and room", func(t *testing.T) {
		f := submit(t, batch.NewStep(1, gpus(1), time.Second, batch.WithLabel("r0")))
		assert.Equal(t, map[placement.Obstacle]int{placement.OtherLabel: 4, placement.NoRoom: 2}, f.obstacles(0))
	})
	t.Run("rack of the data", func(t *testing.T) {
		f := submit(t, batch.NewStep(1, gpus(1), time.Second, batch.WithRack("r0")))
		assert.Equal(t, map[placement.Obstacle]int{placement.OtherRack: 4, placement.NoRoom: 2}, f.obstacles(0))
	})
	t.Run("too small", func(t *testing.T) {
		f := submit(t, batch.NewStep(1, gpus(9), time.Second))
		assert.Equal(t, map[placement.Obstacle]int{placement.TooSmall: 6}, f.obstacles(0))
	})
	t.Run("not before the given wait", func(t *testing.T) {
		f := submit(t, batch.NewStep(1, gpus(9), time.Second))
		assert.Nil(t, f.obstacles(time.Second))
	})
}
