package workspace_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/fuzzing"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

func TestMain(m *testing.M) { fuzzing.Main(m, fuzzing.NoSteps) }

// TestDelta guards against a watcher that applies deltas and gets another configuration than the accepted one.
func TestDelta(t *testing.T) {
	t.Run("a delta leads from any configuration to any later one", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			from := drawConfig(r, "from").WithRevision(3)
			to := drawConfig(r, "to").WithRevision(7)
			assertDiffApplies(r, from, to)
			assertDiffApplies(r, workspace.EmptyConfig(), to)
		})
	})
	t.Run("a delta with another base is refused", func(t *testing.T) {
		_, err := workspace.EmptyConfig().WithRevision(2).Apply(workspace.NewDelta(1, 3, nil, nil))
		require.ErrorContains(t, err, "revision 2")
	})
}

func assertDiffApplies(t require.TestingT, from, to *workspace.Config) {
	got, err := from.Apply(workspace.Diff(from, to))
	require.NoError(t, err)
	assert.Equal(t, to.Revision(), got.Revision())
	assert.ElementsMatch(t, to.Workspaces(), got.Workspaces())
	assert.ElementsMatch(t, to.Exceptions(), got.Exceptions())
	assert.Equal(t, len(to.Defaults()), len(got.Defaults()))
	for k, v := range to.Defaults() {
		assert.Equal(t, v, got.Defaults()[k])
	}
}

func drawConfig(r *rapid.T, label string) *workspace.Config {
	var list []workspace.Workspace
	for i := range 4 {
		if members := rapid.IntRange(0, 3).Draw(r, fmt.Sprint(label, i)); members > 0 {
			s, err := workspace.NewShape(members, 1, workspace.Anywhere)
			require.NoError(r, err)
			list = append(list, workspace.New(fmt.Sprint("w", i), "t", s, workspace.NewLimits(members, 1)))
		}
	}
	defaults := map[string]string{}
	var exceptions []workspace.Exception
	if rapid.Bool().Draw(r, label+" rest") {
		defaults["task_lease"] = rapid.SampledFrom([]string{"1m", "2m"}).Draw(r, label+" lease")
		e, err := workspace.NewException("worker/w1", "task_lease", "5m", "slow link")
		require.NoError(r, err)
		exceptions = append(exceptions, e)
	}
	c, err := workspace.NewConfig(list, defaults, exceptions)
	require.NoError(r, err)
	return c
}
