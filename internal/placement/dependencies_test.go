package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
)

// denseSteps returns steps of one task each, all of which depend on all earlier ones: 2 to the power of count - 2 chains
// lead from the first to the last.
func denseSteps(count int) (steps []batch.Step) {
	for i := range count {
		var earlier []int
		for n := range i {
			earlier = append(earlier, n)
		}
		steps = append(steps, batch.NewStep(1, batch.NewResources(1000, 1000, 1), time.Second, batch.WithAfter(earlier...)))
	}
	return steps
}

// decideWithin makes a decision and fails the test if it takes longer than the limit.
func (f *fixture) decideWithin(limit time.Duration) (p placement.Plan) {
	f.t.Helper()
	decided := make(chan placement.Plan, 1)
	view := placement.NewView(f.now, f.state, f.workers, f.stopped, remoteFactor)
	go func() { decided <- placement.Decide(view) }()
	select {
	case p = <-decided:
	case <-time.After(limit):
		require.Fail(f.t, "no decision within "+limit.String())
	}
	return p
}

// Guards against a job with many dependencies between its steps that keeps the planner from all decisions.
func TestManyDependencies(t *testing.T) {
	f := newFixture(t)
	f.submit("dense", patient, "a", denseSteps(40)...)
	f.submit("other", patient, "b", batch.NewStep(1, batch.NewResources(1000, 1000, 1), time.Second))
	f.submit("denser", patient, "b", denseSteps(250)...)
	p := f.decideWithin(10 * time.Second)
	var jobs []string
	for _, g := range p.Groups() {
		assert.Equal(t, 0, g.Step().Step())
		jobs = append(jobs, g.Step().Job())
	}
	assert.ElementsMatch(t, []string{"dense", "denser", "other"}, jobs)
}
