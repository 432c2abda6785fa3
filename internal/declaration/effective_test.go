package declaration_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/declaration"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Guards against declared values that the roles do not apply in place of their settings.
func TestEffectiveValues(t *testing.T) {
	const fallback = 90 * time.Second
	t.Run("nothing declared", func(t *testing.T) {
		assertLease(t, parsed(t, ""), fallback, "w1")
		assert.Equal(t, 7, declaration.RetryShareOf(parsed(t, ""), "scans", 7))
	})
	t.Run("default of the fleet", func(t *testing.T) {
		assertLease(t, parsed(t, "[defaults]\ntask_lease = \"3m\"\n"), 3*time.Minute, "w1")
	})
	t.Run("shortest exception of the workers", func(t *testing.T) {
		c := parsed(t, "[defaults]\ntask_lease = \"3m\"\n"+exception("w1", "10m")+exception("w2", "8m"))
		assertLease(t, c, 8*time.Minute, "w1", "w2", "w3")
		assertLease(t, c, 3*time.Minute, "w3")
	})
	t.Run("exception for an announcement lease", func(t *testing.T) {
		c := parsed(t, "[[exception]]\ntarget = \"worker/w1\"\nkey = \"announce_lease\"\nvalue = \"5s\"\nreason = \"slow link\"\n")
		assert.Equal(t, 5*time.Second, declaration.AnnounceLeaseOf(c, "w1", 3*time.Second))
		assert.Equal(t, 3*time.Second, declaration.AnnounceLeaseOf(c, "w2", 3*time.Second))
	})
}

func assertLease(t *testing.T, c *workspace.Config, want time.Duration, workers ...string) {
	t.Helper()
	assert.Equal(t, want, declaration.TaskLeaseOf(c, "scans", workers, 90*time.Second))
}

func exception(worker, value string) string {
	return "[[exception]]\ntarget = \"worker/" + worker + "\"\nkey = \"task_lease\"\nvalue = \"" + value + "\"\nreason = \"long cuts\"\n"
}

func parsed(t *testing.T, text string) *workspace.Config {
	t.Helper()
	c, err := declaration.Parse("fleet.toml", []byte(text))
	require.NoError(t, err)
	return c
}
