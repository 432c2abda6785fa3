package batch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Guards against a list of problems that lacks one, shows a key, or differs from what NewDeclaration refuses.
func TestProblems(t *testing.T) {
	t.Run("none", func(t *testing.T) {
		assert.Empty(t, batch.Problems(1, []batch.Queue{queue("a")}, service(), nil))
	})
	t.Run("all", func(t *testing.T) {
		queues := []batch.Queue{
			queue("a"), queue("a"), batch.NewQueue("b", "", "x", "none"),
			batch.NewQueue("c", "h", "/a/", "s").WithObjective(1, 0, time.Second), queue("b"),
		}
		workspaces := []batch.Workspace{batch.NewWorkspace("w", 0, "secret"), batch.NewWorkspace("v", 0, "secret")}
		problems := batch.Problems(0, queues, service(), workspaces)
		assertProblems(t, problems, "version 0: a version", "queue 1: queue \"a\" is declared twice", "queue 1: queues \"a\" and \"a\" share",
			"queue 2: queue \"b\" names the unknown service", "queue 2: queue \"b\" has no timeout", "queue 2: queue \"b\" has no host",
			"queue 3: queues \"a\" and \"c\" share", "queue 4: queue \"b\" is declared twice", "workspace 1: workspaces \"w\" and \"v\" share a key")
		_, err := batch.NewDeclaration(0, queues, service(), workspaces)
		require.ErrorContains(t, err, problems[0].Error())
	})
}

func assertProblems(t *testing.T, problems []batch.Problem, want ...string) {
	t.Helper()
	require.Len(t, problems, len(want))
	for i, p := range problems {
		section, message, _ := strings.Cut(want[i], ": ")
		name, index, _ := strings.Cut(section, " ")
		assert.Equal(t, name, string(p.Section()))
		assert.Equal(t, index, string(rune('0'+p.Index())))
		assert.Contains(t, p.Error(), message)
		assert.NotContains(t, p.Error(), "secret")
	}
}
