package batch_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Guards against jobs that together take more memory than a control host has, against one workspace that keeps the jobs
// of all others out, and against room that is never given back.
func TestRoomForJobs(t *testing.T) {
	const limit, documentBytes = 8 << 20, 4_000
	document := make([]byte, documentBytes)
	empty := newState(t, step(1))
	spec := jobOf(t, empty).Spec()
	fill := func(s batch.State, workspace string) (batch.State, int) {
		count := 0
		for ; !s.Full(spec, documentBytes, workspace, limit) && count < 10_000; count++ {
			s, _ = s.Apply(batch.NewSubmit(workspace+strconv.Itoa(count), "q", workspace, document, epoch))
		}
		return s, count
	}
	s, count := fill(empty, "a")
	require.Positive(t, count)
	require.Less(t, count, 10_000)
	assert.Less(t, count*2*documentBytes, limit/3, "the most of one workspace")
	t.Run("another workspace has room", func(t *testing.T) {
		assert.False(t, s.Full(spec, documentBytes, "b", limit))
	})
	t.Run("all workspaces together", func(t *testing.T) {
		s, total := s, count
		for _, w := range []string{"b", "c", "d", "e", "f"} {
			var more int
			s, more = fill(s, w)
			total += more
		}
		assert.Less(t, total*2*documentBytes, limit)
		assert.True(t, s.Full(spec, documentBytes, "g", limit))
	})
	t.Run("room of a forgotten job", func(t *testing.T) {
		s, _ := s.Apply(batch.NewCancel("a0", epoch))
		assert.True(t, s.Full(spec, documentBytes, "a", limit), "the state of a cancelled job is still asked for")
		before := s.JobBytes()
		s, _ = s.Apply(batch.NewPruneJobs(epoch.Add(time.Second)))
		assert.Less(t, s.JobBytes(), before)
		assert.False(t, s.Full(spec, documentBytes, "a", limit))
	})
	t.Run("many steps", func(t *testing.T) {
		steps := make([]batch.Step, 10_000)
		for i := range steps {
			steps[i] = step(1)
		}
		large, err := batch.NewSpec("large", "", steps...)
		require.NoError(t, err)
		assert.True(t, empty.Full(large, documentBytes, "a", limit))
	})
}
