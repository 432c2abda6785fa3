package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// decisionTime bounds a decision: an agent that hears nothing for longer looks for another leader.
const decisionTime = 1300 * time.Millisecond

// Guards against a step of thousands of small tasks, more than the workers hold, that keeps the planner from all
// decisions.
func TestManySmallTasks(t *testing.T) {
	small := batch.NewStep(9_000, batch.NewResources(100, 1, 0), 5*time.Second)
	for _, queue := range []string{urgent, patient} {
		t.Run(queue, func(t *testing.T) {
			f := newFixture(t)
			f.submit("many", queue, "a", small)
			f.submit("other", patient, "b", batch.NewStep(1, batch.NewResources(1000, 1000, 1), time.Second))
			for range 3 {
				startedAt := time.Now()
				p := f.decideWithin(decisionTime)
				t.Logf("decided in %s", time.Since(startedAt))
				if len(p.Groups()) > 0 {
					f.apply(batch.NewPlaceRuns(f.now, p.Groups()...))
				}
				f.advance(250 * time.Millisecond)
			}
			f.assertCapacity()
			j, _ := f.state.Job("many")
			placed := 0
			for _, task := range j.Tasks(0, 0).All() {
				if task.Phase() == batch.Placed {
					placed++
				}
			}
			assert.Greater(t, placed, 7000)
		})
	}
}
