package entry

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Guards P8: updates from several leaders may arrive in any order, and a configuration must not be replaced by one of
// an older revision.
func TestWatcherRevisions(t *testing.T) {
	t.Run("an older revision is ignored", func(t *testing.T) { assertNeverLower(t, 1, 3, 2, 1) })
	t.Run("a repeated revision is ignored", func(t *testing.T) { assertNeverLower(t, 2, 2, 2) })
	t.Run("a leader without a configuration changes nothing", func(t *testing.T) { assertNeverLower(t, 4, 0) })
	t.Run("each newer revision is applied", func(t *testing.T) { assertNeverLower(t, 1, 2, 3, 4) })
}

// assertNeverLower applies configurations of the given revisions in order and checks that the highest one is published.
func assertNeverLower(t *testing.T, revisions ...uint64) {
	t.Helper()
	b := newBoard()
	w := newWatcher(b, nil, []string{"a:1"}, 10, hclog.NewNullLogger())
	highest := uint64(0)
	for i, r := range revisions {
		u := fleet.NewUpdate(i%2 == 0, uint64(i), nil, nil).WithConfig(
			workspace.Diff(workspace.EmptyConfig(), workspace.EmptyConfig().WithRevision(r)))
		require.NoError(t, w.apply(u, "a:1", time.Unix(int64(i), 0)))
		highest = max(highest, r)
		assert.Equal(t, highest, b.policy.Load().Config().Revision())
	}
}
