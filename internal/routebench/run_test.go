package routebench_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/routebench"
)

// Guards against results that differ between runs with one seed, and against policies without any effect on them.
func TestRun(t *testing.T) {
	full := routebench.NewScenario("full", 3, 11, 1.3, 0.3, 5*time.Second)
	current := routebench.NewPolicy("today", routebench.CurrentChoice{}, routebench.FixedLimits{}, 4)
	t.Run("the same seed", func(t *testing.T) {
		assert.Equal(t, routebench.Run(full, current, 1).Row(), routebench.Run(full, current, 1).Row())
	})
	t.Run("another policy", func(t *testing.T) {
		first := routebench.Run(full, current, 1).Row()
		for _, p := range []routebench.Policy{
			routebench.NewPolicy("today", routebench.NewLeastLoaded(0, 1), routebench.FixedLimits{}, 4),
			routebench.NewPolicy("today", routebench.CurrentChoice{}, routebench.NewByDelay(100*time.Millisecond, 500*time.Millisecond), 4),
			routebench.NewPolicy("today", routebench.CurrentChoice{}, routebench.NewNewestFirst(500*time.Millisecond), 4),
			routebench.NewPolicy("today", routebench.CurrentChoice{}, routebench.FixedLimits{}, 0), current.WithBudgetForAllRetries(),
		} {
			assert.NotEqual(t, first, routebench.Run(full, p, 1).Row())
		}
	})
	t.Run("a failing endpoint", func(t *testing.T) {
		s := routebench.NewScenario("failing", 3, 11, 0.5, 0.3, 20*time.Second).WithFault(routebench.Failing)
		assert.Less(t, failures(t, routebench.Run(s, current, 1)), 1.0)
		assert.Greater(t, failures(t, routebench.Run(s, current.WithoutQuarantine(), 1)), 100.0/11)
	})
}

// failures returns the share of failed requests in percent, which is column 7 of the row.
func failures(t *testing.T, r *routebench.Result) (percent float64) {
	t.Helper()
	percent, err := strconv.ParseFloat(strings.Split(r.Row(), "\t")[7], 64)
	require.NoError(t, err)
	return percent
}
