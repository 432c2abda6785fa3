package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/planbench"
)

// Guards against a policy change that breaks guarantees, and against figures that differ between equal runs.
func TestScenarios(t *testing.T) {
	all, err := scenarios(1)
	require.NoError(t, err)
	for _, s := range all {
		t.Run(s.Name(), func(t *testing.T) {
			one := planbench.Run(s, plan.Reserving)
			assert.Zero(t, one.Violations())
			assertSame(t, one, planbench.Run(s, plan.Reserving))
		})
	}
}

func assertSame(t *testing.T, one, two *planbench.Result) {
	t.Helper()
	assert.Equal(t, one, two)
}
