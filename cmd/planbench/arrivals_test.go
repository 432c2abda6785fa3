package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/planbench"
)

// TestScenarios guards against a policy change that violates guarantees, and against results that differ between
// equal runs.
func TestScenarios(t *testing.T) {
	all, err := scenarios(1)
	require.NoError(t, err)
	for _, s := range all {
		t.Run(s.Name(), func(t *testing.T) {
			one := planbench.Run(s, plan.Reserving)
			assert.Zero(t, one.Violations())
			assertEqualResults(t, one, planbench.Run(s, plan.Reserving))
		})
	}
}

func assertEqualResults(t *testing.T, one, two *planbench.Result) {
	t.Helper()
	assert.Equal(t, one, two)
}
