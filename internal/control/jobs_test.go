package control

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/workspace"
	"rosemarywind.example/rosemarywind/pkg/client"
)

func TestInvalidJobs(t *testing.T) {
	t.Run("no members", func(t *testing.T) { assertRefused(t, submitBody(0, 1), "members must be at least 1") })
	t.Run("negative members", func(t *testing.T) { assertRefused(t, submitBody(-2, 1), "members must be at least 1") })
	t.Run("negative accelerators", func(t *testing.T) { assertRefused(t, submitBody(1, -8), "accelerators per member") })
	t.Run("a number of accelerators that overflows to 0, which would fit anywhere", func(t *testing.T) {
		assertRefused(t, submitBody(1<<62, 4), "at most")
	})
	t.Run("unknown adjacency", func(t *testing.T) {
		body := submitBody(1, 1)
		body.Shape.Adjacency = "moon"
		assertRefused(t, body, "adjacency")
	})
	t.Run("negative run time", func(t *testing.T) {
		body := submitBody(1, 1)
		body.RunTimeS = -1
		assertRefused(t, body, "run_time_s")
	})
	t.Run("a run time beyond what a duration holds", func(t *testing.T) {
		body := submitBody(1, 1)
		body.RunTimeS = math.MaxFloat64
		assertRefused(t, body, "run_time_s")
	})
	t.Run("unknown urgency", func(t *testing.T) {
		body := submitBody(1, 1)
		body.Urgency = "now"
		assertRefused(t, body, "urgency")
	})
	t.Run("a payload above the limit", func(t *testing.T) {
		body := submitBody(1, 1)
		body.Payload = string(make([]byte, maxPayloadBytes+1))
		assertRefused(t, body, "payload")
	})
}

func submitBody(members, accelerators int) client.SubmitBody {
	return client.SubmitBody{
		Workspace: "team", Shape: client.ShapeBody{Members: members, Accelerators: accelerators, Adjacency: string(workspace.Anywhere)},
	}
}

func assertRefused(t *testing.T, body client.SubmitBody, reason string) {
	t.Helper()
	_, err := specOf(body, "j-1", start)
	assert.ErrorContains(t, err, reason)
}
