package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Guards against a job with an endless schedule that is long overdue and keeps the planner from all other jobs.
func TestOverdueSchedule(t *testing.T) {
	f := newFixture(t)
	spec, err := batch.NewSpec("endless", "", batch.NewStep(1, batch.NewResources(1000, 1000, 1), time.Minute))
	require.NoError(t, err)
	f.decoder.specs["endless"] = spec.WithSchedule(1<<53-1, epoch.AddDate(-1, 0, 0), time.Millisecond)
	f.apply(batch.NewSubmit("endless", scans, "a", nil, f.now))
	f.submit("other", patient, "b", batch.NewStep(1, batch.NewResources(1000, 1000, 1), time.Second))
	p := f.decide()
	placed := map[string]int{}
	for _, g := range p.Groups() {
		placed[g.Step().Job()] += len(g.Members())
	}
	assert.Equal(t, 1, placed["other"])
	assert.Equal(t, 47, placed["endless"], "of 48 accelerators")
	f.end(batch.NewTaskID("endless", 0, 0, 0), batch.Done)
	f.advance(time.Second)
	p = f.decide()
	require.Len(t, p.Groups(), 1)
	assert.Equal(t, "endless", p.Groups()[0].Step().Job())
}
