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

// Guards against figures that differ between runs, and policies that do not differ.
func TestRun(t *testing.T) {
	full := routebench.NewScenario("full", 3, 11, 1.3, 0.3, 5*time.Second)
	today := routebench.NewPolicy("today", routebench.Today{}, routebench.Fixed{}, 4)
	t.Run("the same seed", func(t *testing.T) {
		assert.Equal(t, routebench.Run(full, today, 1).Row(), routebench.Run(full, today, 1).Row())
	})
	t.Run("another policy", func(t *testing.T) {
		first := routebench.Run(full, today, 1).Row()
		for _, p := range []routebench.Policy{
			routebench.NewPolicy("today", routebench.NewDraws(0, 1), routebench.Fixed{}, 4),
			routebench.NewPolicy("today", routebench.Today{}, routebench.NewByDelay(100*time.Millisecond, 500*time.Millisecond), 4),
			routebench.NewPolicy("today", routebench.Today{}, routebench.NewNewestFirst(500*time.Millisecond), 4),
			routebench.NewPolicy("today", routebench.Today{}, routebench.Fixed{}, 0), today.WithBudgetedRetries(),
		} {
			assert.NotEqual(t, first, routebench.Run(full, p, 1).Row())
		}
	})
	t.Run("a failing endpoint", func(t *testing.T) {
		s := routebench.NewScenario("failing", 3, 11, 0.5, 0.3, 20*time.Second).WithFault(routebench.Failing)
		assert.Less(t, failures(t, routebench.Run(s, today, 1)), 1.0)
		assert.Greater(t, failures(t, routebench.Run(s, today.WithoutHealth(), 1)), 100.0/11)
	})
}

// failures returns the column of failed requests in percent.
func failures(t *testing.T, r *routebench.Result) (percent float64) {
	t.Helper()
	percent, err := strconv.ParseFloat(strings.Split(r.Row(), "\t")[7], 64)
	require.NoError(t, err)
	return percent
}
