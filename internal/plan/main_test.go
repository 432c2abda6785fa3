package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/fuzzing"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

var startTime = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// stepsOfCheck is the mean number of steps of a check; CI runs 200 checks with seed 1 and requires 10,000 steps.
const stepsOfCheck = 72

func TestMain(m *testing.M) { fuzzing.Main(m, stepsOfCheck) }

// workersOf returns workers with 8 accelerators each, three to a rack, with the racks spread over the availability
// zones.
func workersOf(count, zones int) (workers []fleet.Worker) {
	for i := range count {
		zone := fleet.AvailabilityZone(fmt.Sprintf("z%d", i/3%zones))
		rack := fleet.Rack(fmt.Sprintf("r%d", i/3))
		workers = append(workers, fleet.NewWorker(fmt.Sprintf("w%d", i), "here", zone, rack).WithResources(128, 256000, 8))
	}
	return workers
}

func shapeOf(t require.TestingT, members, accelerators int, a workspace.Adjacency) workspace.Shape {
	s, err := workspace.NewShape(members, accelerators, a)
	require.NoError(t, err)
	return s
}

func workspaceOf(t require.TestingT, name string, members, accelerators int, a workspace.Adjacency) workspace.Workspace {
	return workspace.New(name, name, shapeOf(t, members, accelerators, a), workspace.Limits{})
}

func jobOf(t require.TestingT, id, workspaceName string, s workspace.Shape, opts ...job.SpecOption) job.Job {
	spec, err := job.NewSpec(id, workspaceName, s, startTime, opts...)
	require.NoError(t, err)
	return job.New(spec)
}

func requirePlace(t *testing.T, decisions []plan.Decision, id string) plan.Place {
	t.Helper()
	for _, d := range decisions {
		if p, ok := d.(plan.Place); ok && p.Job() == id {
			return p
		}
	}
	require.Failf(t, "not placed", "%s: %v", id, decisions)
	return plan.Place{}
}

func requireWait(t *testing.T, decisions []plan.Decision, id string) {
	t.Helper()
	for _, d := range decisions {
		if w, ok := d.(plan.Wait); ok && w.Job() == id {
			return
		}
	}
	require.Failf(t, "does not wait", "%s: %v", id, decisions)
}

func assertRejected(t *testing.T, decisions []plan.Decision, id, reason string) {
	t.Helper()
	require.Len(t, decisions, 1)
	r, ok := decisions[0].(plan.Reject)
	require.True(t, ok, "%v", decisions)
	assert.Equal(t, id, r.Job())
	assert.Contains(t, r.Reason(), reason)
}

func assertErrorContains(t *testing.T, err error, want string) {
	t.Helper()
	require.Error(t, err)
	assert.Contains(t, err.Error(), want)
}
