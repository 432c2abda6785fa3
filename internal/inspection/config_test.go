package inspection_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/declaration"
	"rosemarywind.example/rosemarywind/internal/inspection"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

const exceptionText = `
[[exception]]
reason = "r"
`

// Guards against an exception without effect, or a limit above what the workers have, that is not reported.
func TestConfig(t *testing.T) {
	fleet := inspection.NewFleet(16, 24, "w1")
	workspaces := "[[workspace]]\nname = \"a\"\ntenant = \"t\"\nguarantee = {members = 2, accelerators = 8, adjacency = \"any\"}\n"
	t.Run("none", func(t *testing.T) {
		text := workspaces + exceptionText + "target = \"worker/w1\"\nkey = \"task_lease\"\nvalue = \"2m\"\n"
		assert.Empty(t, inspection.CheckConfig(config(t, text), nil, fleet))
	})
	t.Run("exception for an unknown worker", func(t *testing.T) {
		c := config(t, exceptionText+"target = \"worker/w2\"\nkey = \"task_lease\"\nvalue = \"5m\"\n")
		assertOnly(t, inspection.CheckConfig(c, nil, fleet), inspection.Unreachable, "exception worker/w2 task_lease", "no worker \"w2\"")
		assert.Empty(t, inspection.CheckConfig(c, nil, inspection.Fleet{}))
	})
	t.Run("exception that repeats a default", func(t *testing.T) {
		c := config(t, "[defaults]\ntask_lease = \"2m\"\n"+exceptionText+"target = \"worker/w1\"\nkey = \"task_lease\"\nvalue = \"120s\"\n")
		assertOnly(t, inspection.CheckConfig(c, nil, fleet), inspection.Contradiction, "exception worker/w1 task_lease", "repeats the default 2m")
	})
	t.Run("exception that repeats a built-in value", func(t *testing.T) {
		c := config(t, workspaces+exceptionText+"target = \"workspace/a\"\nkey = \"request_queued\"\nvalue = 256\n")
		assertOnly(t, inspection.CheckConfig(c, nil, fleet), inspection.Contradiction, "exception workspace/a request_queued", "repeats the default 256")
	})
	t.Run("exception beside a limit", func(t *testing.T) {
		c := config(t, workspaces+"limits = {queued = 9}\n"+exceptionText+"target = \"workspace/a\"\nkey = \"request_queued\"\nvalue = 7\n")
		assertOnly(t, inspection.CheckConfig(c, nil, fleet), inspection.Contradiction, "exception workspace/a request_queued", "of its own, 9, which replaces 7")
	})
	t.Run("guarantees above the accelerators", func(t *testing.T) {
		found := inspection.CheckConfig(config(t, workspaces), nil, fleet.WithAccelerators(15))
		assertOnly(t, found, inspection.Contradiction, "workspace", "16 accelerators are guaranteed in total and the workers have 15")
	})
	t.Run("limit above the slots", func(t *testing.T) {
		found := inspection.CheckConfig(config(t, workspaces+"limits = {in_flight = 25}\n"), nil, fleet)
		assertOnly(t, found, inspection.Contradiction, "workspace a", "25 requests in flight are more than the 24 slots")
	})
	t.Run("default above the slots is reported once", func(t *testing.T) {
		found := inspection.CheckConfig(config(t, "[defaults]\nrequest_in_flight = 30\n"+workspaces), nil, fleet)
		assertOnly(t, found, inspection.Contradiction, "default request_in_flight", "30 requests")
	})
	t.Run("difference", func(t *testing.T) {
		found := inspection.CheckConfig(config(t, workspaces), config(t, workspaces+"limits = {in_flight = 5}\n"), fleet)
		assertOnly(t, found, inspection.Difference, "0 workspace a limits", "changed: 5 in flight, 256 queued -> 64 in flight, 256 queued")
	})
	t.Run("other revision", func(t *testing.T) {
		inForce := workspace.EmptyConfig().WithRevision(7)
		assertOnly(t, inspection.CheckRevision(6, inForce), inspection.Error, "version", "made from revision 6 and revision 7 is in force")
		assert.Empty(t, inspection.CheckRevision(7, inForce))
	})
}

func config(t *testing.T, text string) *workspace.Config {
	t.Helper()
	c, err := declaration.Parse("d.toml", []byte(text))
	require.NoError(t, err)
	return c
}
