package planbench_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/planbench"
)

// Guards against a policy change that breaks guarantees, and against figures that differ between equal runs.
func TestScenarios(t *testing.T) {
	scenarios, err := planbench.Scenarios(1)
	require.NoError(t, err)
	for _, s := range scenarios {
		t.Run(s.Name(), func(t *testing.T) {
			one := planbench.Run(s, plan.Reserving)
			assert.Zero(t, one.Violations())
			assertSame(t, one, planbench.Run(s, plan.Reserving))
		})
	}
}

func assertSame(t *testing.T, results ...*planbench.Result) {
	t.Helper()
	var tables [2]strings.Builder
	for i, r := range results {
		require.NoError(t, planbench.WriteTable(&tables[i], []*planbench.Result{r}))
	}
	assert.Equal(t, tables[0].String(), tables[1].String())
}

// Guards against a chart that no viewer opens.
func TestChart(t *testing.T) {
	scenarios, err := planbench.Scenarios(1)
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, planbench.WriteChart(&b, []*planbench.Result{planbench.Run(scenarios[8], plan.Reserving)}))
	assert.True(t, strings.HasPrefix(b.String(), "<svg ") && strings.HasSuffix(b.String(), "</svg>\n"))
	assert.Contains(t, b.String(), "four reclaims, reserving")
}
