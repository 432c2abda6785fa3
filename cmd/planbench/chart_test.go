package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/planbench"
)

// TestChart guards against a chart that lacks the start or the end of an SVG document, or the names of the scenario and
// the policy.
func TestChart(t *testing.T) {
	all, err := scenarios(1)
	require.NoError(t, err)
	var b strings.Builder
	// all[8] is the scenario "four reclaims".
	require.NoError(t, writeChart(&b, []*planbench.Result{planbench.Run(all[8], plan.Reserving)}))
	assert.True(t, strings.HasPrefix(b.String(), "<svg ") && strings.HasSuffix(b.String(), "</svg>\n"))
	assert.Contains(t, b.String(), "four reclaims, reserving")
}
