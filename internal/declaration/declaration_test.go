package declaration_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/declaration"
	"rosemarywind.example/rosemarywind/internal/document"
	"rosemarywind.example/rosemarywind/internal/fuzzing"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

func TestMain(m *testing.M) { fuzzing.Main(m, fuzzing.NoSteps) }

var digest = "sha256:" + strings.Repeat("0a", 32)

var text = `[defaults]
task_lease = "2m"
request_queued = 100

[[workspace]]
name = "previews"
tenant = "dokuma"
guarantee = {members = 2, accelerators = 8, adjacency = "rack"}
limits = {in_flight = 16}
token_digests = ["` + digest + `"]

[[workspace]]
name = "scans"
tenant = "dokuma"

[[exception]]
target = "worker/w1"
key = "task_lease"
value = "10m"
reason = "behind a slow switch"

[[exception]]
target = "workspace/scans"
key = "request_in_flight"
value = 4
reason = "patient"
`

// Guards against parts of a declaration that are dropped and values that are taken from the wrong exception or default.
func TestParse(t *testing.T) {
	c := parse(t, text)
	t.Run("workspace", func(t *testing.T) {
		w, ok := c.Workspace("previews")
		require.True(t, ok)
		assert.Equal(t, "dokuma", w.Tenant())
		assert.Equal(t, "2x8/rack", w.Guarantee().String())
		assert.Equal(t, []string{digest}, w.TokenDigests())
		assert.Equal(t, workspace.NewLimits(16, 100), w.Limits())
	})
	t.Run("limits from an exception and a default", func(t *testing.T) {
		w, ok := c.Workspace("scans")
		require.True(t, ok)
		assert.Equal(t, workspace.NewLimits(4, 100), w.Limits())
		assert.Zero(t, w.Guarantee().Total())
	})
	t.Run("values", func(t *testing.T) {
		assert.Equal(t, 10*time.Minute, declaration.Duration(c, "worker/w1", declaration.TaskLease))
		assert.Equal(t, 2*time.Minute, declaration.Duration(c, "worker/w2", declaration.TaskLease))
		assert.Equal(t, 3*time.Second, declaration.Duration(c, "worker/w1", declaration.AnnounceLease))
		assert.Equal(t, 10, declaration.Integer(c, "workspace/scans", declaration.RetrySharePercent))
	})
	t.Run("empty text", func(t *testing.T) {
		assertChanges(t, workspace.EmptyConfig(), parse(t, ""))
	})
}

// Guards against an invalid declaration that is accepted, or whose error lacks the line, the key or the allowed values.
func TestRefusals(t *testing.T) {
	t.Run("exception without a reason", func(t *testing.T) {
		assertRefused(t, replace(`reason = "patient"`, ""), 22, "exception[1].reason", "required")
	})
	t.Run("exception with a blank reason", func(t *testing.T) {
		assertRefused(t, replace(`reason = "patient"`, `reason = " "`), 26, "exception[1].reason", "needs a reason")
	})
	t.Run("exception for an unknown workspace", func(t *testing.T) {
		assertRefused(t, replace(`"workspace/scans"`, `"workspace/none"`), 23, "exception[1].target", "not declared")
	})
	t.Run("exception for a kind of target that the key does not allow", func(t *testing.T) {
		assertRefused(t, replace(`"workspace/scans"`, `"worker/w1"`), 23, "exception[1].target", "allowed for request_in_flight: workspace/NAME")
	})
	t.Run("exception out of range", func(t *testing.T) {
		assertRefused(t, replace(`value = "10m"`, `value = "2h"`), 19, "exception[0].value", "from 5s to 1h")
	})
	t.Run("exception declared twice", func(t *testing.T) {
		again := "[[exception]]\ntarget = \"worker/w1\"\nkey = \"task_lease\"\nvalue = \"1m\"\nreason = \"r\"\n"
		assertRefused(t, text+again, 29, "exception[2].key", "declared twice")
	})
	t.Run("unknown default", func(t *testing.T) {
		assertRefused(t, replace("request_queued", "request_quota"), 3, "defaults.request_quota", "unknown default", "task_lease")
	})
	t.Run("default of the wrong type", func(t *testing.T) {
		assertRefused(t, replace("request_queued = 100", `request_queued = "100"`), 3, "defaults.request_queued", "integer from 0")
	})
	t.Run("unknown key", func(t *testing.T) {
		assertRefused(t, replace(`limits = {in_flight = 16}`, `limits = {inflight = 16}`), 9, "workspace[0].limits.inflight", "unknown key", "in_flight, queued")
	})
	t.Run("unknown table", func(t *testing.T) {
		assertRefused(t, "[workspaces]\n"+text, 1, "workspaces", "allowed keys: defaults, workspace, exception")
	})
	t.Run("table in place of an array", func(t *testing.T) {
		assertRefused(t, "[workspace]\nname = \"a\"\n", 1, "workspace", "[[workspace]]")
	})
	t.Run("shape out of range", func(t *testing.T) {
		assertRefused(t, replace("members = 2", "members = -2"), 8, "workspace[0].guarantee.members", "from 1 to 512")
	})
	t.Run("unknown adjacency", func(t *testing.T) {
		assertRefused(t, replace(`adjacency = "rack"`, `adjacency = "room"`), 8, "workspace[0].guarantee.adjacency", "worker, rack, availability-zone, any")
	})
	t.Run("workspace declared twice", func(t *testing.T) {
		assertRefused(t, replace(`name = "scans"`, `name = "previews"`), 13, "workspace[1].name", "declared twice")
	})
	t.Run("one token for two workspaces", func(t *testing.T) {
		again := fmt.Sprintf("name = \"scans\"\ntoken_digests = [%q]", digest)
		assertRefused(t, replace(`name = "scans"`, again), 14, "workspace[1].token_digests", "declared twice")
	})
	t.Run("token in place of its digest", func(t *testing.T) {
		assertRefused(t, replace(digest, "c2VjcmV0"), 10, "workspace[0].token_digests", "bad digest")
		_, err := declaration.Parse("d.toml", []byte(replace(digest, "c2VjcmV0")))
		assert.NotContains(t, err.Error(), "c2VjcmV0")
	})
	t.Run("not TOML", func(t *testing.T) {
		assertRefused(t, "[defaults\n", 1, "", "not TOML")
	})
	t.Run("all problems at once", func(t *testing.T) {
		_, err := declaration.Parse("d.toml", []byte(strings.NewReplacer("rack", "room", `"2m"`, `"2h"`).Replace(text)))
		var problems *document.Problems
		require.ErrorAs(t, err, &problems)
		assert.Len(t, problems.List(), 2)
	})
}

// Guards against a change that Diff misses or displays incorrectly.
func TestDiff(t *testing.T) {
	before := parse(t, text)
	t.Run("revision only", func(t *testing.T) { assertChanges(t, before, before.WithRevision(7)) })
	t.Run("default", func(t *testing.T) {
		assertChanges(t, before, parse(t, replace(`"2m"`, `"5m"`)), "changed default task_lease: 2m -> 5m")
	})
	t.Run("default that changes limits", func(t *testing.T) {
		assertChanges(t, before, parse(t, replace("request_queued = 100", "")),
			"removed default request_queued: 100",
			"changed workspace previews limits: 16 in flight, 100 queued -> 16 in flight, 256 queued",
			"changed workspace scans limits: 4 in flight, 100 queued -> 4 in flight, 256 queued")
	})
	t.Run("token", func(t *testing.T) {
		other := digest[:len(digest)-1] + "b"
		assertChanges(t, before, parse(t, replace(digest, other)), "changed workspace previews tokens: sha256:0a0a0a0a -> sha256:0a0a0a0a")
	})
	t.Run("reason", func(t *testing.T) {
		assertChanges(t, before, parse(t, replace("behind a slow switch", "new rack")),
			"changed exception worker/w1 task_lease: 10m (behind a slow switch) -> 10m (new rack)")
	})
	t.Run("all removed", func(t *testing.T) {
		assert.Len(t, declaration.Diff(before, workspace.EmptyConfig()), 10)
	})
}

// Guards against a formatted text that Parse refuses or that gives a different configuration.
func TestFormat(t *testing.T) {
	t.Run("example", func(t *testing.T) { assertRoundTrip(t, parse(t, text)) })
	t.Run("empty", func(t *testing.T) { assertRoundTrip(t, workspace.EmptyConfig()) })
	t.Run("any", func(t *testing.T) { rapid.Check(t, func(r *rapid.T) { assertRoundTrip(r, anyConfig(r)) }) })
}

func anyConfig(r *rapid.T) *workspace.Config {
	defaults := map[string]string{}
	if rapid.Bool().Draw(r, "lease") {
		defaults["task_lease"] = fmt.Sprintf("%ds", rapid.IntRange(5, 59).Draw(r, "seconds"))
	}
	if rapid.Bool().Draw(r, "queue") {
		defaults["request_queued"] = fmt.Sprint(rapid.IntRange(0, 300).Draw(r, "queued"))
	}
	var list []workspace.Workspace
	var exceptions []workspace.Exception
	for i := range rapid.IntRange(0, 4).Draw(r, "workspaces") {
		name := fmt.Sprintf("team-%d", i)
		limits := workspace.NewLimits(rapid.IntRange(1, 65536).Draw(r, "in flight"), rapid.IntRange(0, 300).Draw(r, "queued"))
		var s workspace.Shape
		if rapid.Bool().Draw(r, "guarantee") {
			var err error
			adjacency := rapid.SampledFrom([]workspace.Adjacency{workspace.SameWorker, workspace.SameRack, workspace.SameZone, workspace.Anywhere}).Draw(r, "adjacency")
			s, err = workspace.NewShape(rapid.IntRange(1, 512).Draw(r, "members"), rapid.IntRange(1, 16).Draw(r, "accelerators"), adjacency)
			require.NoError(r, err)
		}
		list = append(list, workspace.New(name, "tenant", s, limits))
		if rapid.Bool().Draw(r, "exception") {
			reason := rapid.StringMatching(`[^\x00-\x20\x7f-\x9f]+`).Draw(r, "reason")
			e, err := workspace.NewException("workspace/"+name, "request_in_flight", "7", reason)
			if err != nil {
				continue
			}
			exceptions = append(exceptions, e)
		}
	}
	c, err := workspace.NewConfig(list, defaults, exceptions)
	require.NoError(r, err)
	return c
}

func parse(t *testing.T, text string) *workspace.Config {
	t.Helper()
	c, err := declaration.Parse("d.toml", []byte(text))
	require.NoError(t, err)
	return c
}

func replace(old, with string) string { return strings.Replace(text, old, with, 1) }

func assertRefused(t *testing.T, text string, line int, key string, parts ...string) {
	t.Helper()
	_, err := declaration.Parse("d.toml", []byte(text))
	var problem document.Problem
	require.ErrorAs(t, err, &problem)
	assert.Equal(t, line, problem.Line(), problem.Error())
	assert.Equal(t, key, problem.Key())
	for _, p := range parts {
		assert.Contains(t, problem.Error(), p)
	}
}

func assertChanges(t *testing.T, before, after *workspace.Config, want ...string) {
	t.Helper()
	var got []string
	for _, c := range declaration.Diff(before, after) {
		got = append(got, c.String())
	}
	assert.Equal(t, want, got)
}

func assertRoundTrip(t require.TestingT, c *workspace.Config) {
	data := declaration.Format(c)
	again, err := declaration.Parse("d.toml", data)
	require.NoError(t, err, string(data))
	require.Empty(t, declaration.Diff(c, again), string(data))
	require.Equal(t, string(data), string(declaration.Format(again)))
}
