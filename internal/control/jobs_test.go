package control

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/workspace"
	"rosemarywind.example/rosemarywind/pkg/client"
)

func TestImpossibleJobs(t *testing.T) {
	t.Run("no members", func(t *testing.T) { assertRefused(t, formOf(0, 1), "members must be at least 1") })
	t.Run("negative members", func(t *testing.T) { assertRefused(t, formOf(-2, 1), "members must be at least 1") })
	t.Run("negative accelerators", func(t *testing.T) { assertRefused(t, formOf(1, -8), "accelerators per member") })
	t.Run("a product that overflows to 0 would be placed anywhere", func(t *testing.T) {
		assertRefused(t, formOf(1<<62, 4), "at most")
	})
	t.Run("unknown adjacency", func(t *testing.T) {
		f := formOf(1, 1)
		f.Shape.Adjacency = "moon"
		assertRefused(t, f, "adjacency")
	})
	t.Run("negative run time", func(t *testing.T) {
		f := formOf(1, 1)
		f.RunTimeS = -1
		assertRefused(t, f, "run_time_s")
	})
	t.Run("a run time beyond what a duration holds", func(t *testing.T) {
		f := formOf(1, 1)
		f.RunTimeS = math.MaxFloat64
		assertRefused(t, f, "run_time_s")
	})
	t.Run("unknown urgency", func(t *testing.T) {
		f := formOf(1, 1)
		f.Urgency = "now"
		assertRefused(t, f, "urgency")
	})
	t.Run("a payload of megabytes", func(t *testing.T) {
		f := formOf(1, 1)
		f.Payload = string(make([]byte, maxPayloadBytes+1))
		assertRefused(t, f, "payload")
	})
}

func formOf(members, accelerators int) client.SubmitBody {
	return client.SubmitBody{
		Workspace: "team", Shape: client.ShapeBody{Members: members, Accelerators: accelerators, Adjacency: string(workspace.Anywhere)},
	}
}

func assertRefused(t *testing.T, f client.SubmitBody, reason string) {
	t.Helper()
	_, err := specOf(f, "j-1", start)
	assert.ErrorContains(t, err, reason)
}
