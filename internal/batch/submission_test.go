package batch_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Guards against a job with a negative or absurd number, on which the leader counts for ever, adds past the range of its
// numbers or takes a worker to be emptier than it is.
func TestAbsurdNumbers(t *testing.T) {
	of := func(cpu, memory, accelerators int, estimate time.Duration, opts ...batch.StepOption) batch.Step {
		return batch.NewStep(1, batch.NewResources(cpu, memory, accelerators), estimate, opts...)
	}
	for name, c := range map[string]struct {
		step     batch.Step
		accepted bool
	}{
		"nothing":                  {of(0, 0, 0, 0), true},
		"ordinary":                 {of(52_000, 64_000, 8, time.Hour), true},
		"a limit per worker":       {of(1, 1, 1, 1, batch.WithMaxPerWorker(3)), true},
		"negative processor share": {of(-5, 1, 1, 1), false},
		"negative memory":          {of(1, -1, 1, 1), false},
		"negative accelerators":    {of(1, 1, -1, 1), false},
		"huge processor share":     {of(math.MaxInt, 1, 1, 1), false},
		"huge memory":              {of(1, math.MaxInt, 1, 1), false},
		"huge accelerators":        {of(1, 1, math.MaxInt, 1), false},
		"negative duration":        {of(1, 1, 1, -1), false},
		"negative limit":           {of(1, 1, 1, 1, batch.WithMaxPerWorker(-1)), false},
		"negative tolerance":       {of(1, 1, 1, 1, batch.WithLongRunning(true, -1)), false},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := batch.NewSpec("j", "", c.step)
			require.NoError(t, err, "a job that an earlier version accepted stays readable")
			assert.Equal(t, c.accepted, s.CheckSubmission() == nil)
		})
	}
}
