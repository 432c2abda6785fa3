package settings_test

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/document"
	"rosemarywind.example/rosemarywind/internal/settings"
)

// Guards against a role without an example or a reference, and an example that the checks refuse.
func TestExample(t *testing.T) {
	for _, r := range settings.Roles() {
		t.Run(string(r), func(t *testing.T) {
			require.NoError(t, settings.Check(r, write(t, settings.Example(r))))
			assert.Contains(t, settings.Reference(r), "| key | default |")
		})
	}
	t.Run("unknown role", func(t *testing.T) {
		assert.Empty(t, settings.Example("relay"))
		assert.ErrorContains(t, settings.Check("relay", write(t, "")), `role "relay" is unknown`)
	})
}

// Guards against a default that differs from the documented one.
func TestDefaults(t *testing.T) {
	t.Run("entry", func(t *testing.T) {
		e, err := settings.LoadEntry(write(t, entryText))
		require.NoError(t, err)
		assert.Equal(t, int64(4<<20), e.BodyBytes())
		assert.Equal(t, int64(64<<20), e.BufferedBytes())
		assert.Equal(t, 30*time.Second, e.StopGrace())
		assert.Equal(t, 25*time.Millisecond, e.RetryBasePause())
		assert.Equal(t, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9601")}, e.ControlAddresses())
		assert.Equal(t, "info", e.Telemetry().LogLevel())
		assert.Equal(t, "c", e.Keys().Certificate())
		assert.Equal(t, "k", e.Keys().Key())
		assert.Equal(t, "a", e.Keys().Authority())
	})
	t.Run("agent advertises its listen address", func(t *testing.T) {
		a, err := settings.LoadAgent(write(t, settings.Example(settings.RoleAgent)))
		require.NoError(t, err)
		assert.Equal(t, a.Listen(), a.Advertise())
		assert.Equal(t, 8, a.Slots())
		assert.Equal(t, 64, a.Connections())
	})
	t.Run("control", func(t *testing.T) {
		c, err := settings.LoadControl(write(t, settings.Example(settings.RoleControl)))
		require.NoError(t, err)
		assert.Equal(t, 2*time.Minute, c.TaskLease())
		assert.Equal(t, 3*time.Second, c.AnnounceLease())
		assert.InDelta(t, 1.0, c.CompletionWeight(), 0)
		assert.Len(t, c.Members(), 1)
	})
	t.Run("operator and standin", func(t *testing.T) {
		o, err := settings.LoadOperator(write(t, settings.Example(settings.RoleOperator)))
		require.NoError(t, err)
		assert.Equal(t, []string{"http://127.0.0.1:9700"}, o.ControlURLs())
		s, err := settings.LoadStandin(write(t, settings.Example(settings.RoleStandin)))
		require.NoError(t, err)
		assert.Equal(t, 2*time.Second, s.ReportLag())
	})
}

// Guards against an invalid value that is accepted, or whose error lacks the line, the key or the allowed values.
func TestRefusals(t *testing.T) {
	t.Run("unknown key", func(t *testing.T) {
		assertRefused(t, settings.RoleEntry, entryText+"[limits]\nbody = 3\n", 8, "limits.body", "unknown key", "limits.body_bytes")
	})
	t.Run("table that is a value", func(t *testing.T) {
		assertRefused(t, settings.RoleEntry, "limits = 3\n"+entryText, 1, "limits", "must be a table")
	})
	t.Run("wrong type", func(t *testing.T) {
		assertRefused(t, settings.RoleEntry, entryText+"retry.attempts = \"3\"", 7, "retry.attempts", "must be an integer", "from 1 to 10")
	})
	t.Run("out of range", func(t *testing.T) {
		assertRefused(t, settings.RoleEntry, entryText+"stop.grace = \"11m\"", 7, "stop.grace", "from 0s to 10m")
	})
	t.Run("duration without a unit", func(t *testing.T) {
		assertRefused(t, settings.RoleEntry, entryText+"stop.grace = \"11\"", 7, "stop.grace", "not a duration")
	})
	t.Run("not a number", func(t *testing.T) {
		text := strings.Replace(settings.Example(settings.RoleControl), "fragmentation_weight = 0.0", "fragmentation_weight = nan", 1)
		assertRefused(t, settings.RoleControl, text, lineOf(text, "fragmentation_weight = "), "planner.fragmentation_weight", "out of range")
	})
	t.Run("host name in place of an IP", func(t *testing.T) {
		text := strings.Replace(entryText, "127.0.0.1:8080", "localhost:8080", 1)
		assertRefused(t, settings.RoleEntry, text, 3, "listen", "bad address", "IP:port")
	})
	t.Run("address listed twice", func(t *testing.T) {
		text := strings.Replace(entryText, `["127.0.0.1:9601"]`, `["127.0.0.1:9601", "127.0.0.1:9601"]`, 1)
		assertRefused(t, settings.RoleEntry, text, 5, "control.addresses", "twice")
	})
	t.Run("missing required key", func(t *testing.T) {
		text := strings.Replace(entryText, `name = "e1"`, "", 1)
		assertRefused(t, settings.RoleEntry, text, 0, "name", "required")
	})
	t.Run("empty required path", func(t *testing.T) {
		text := strings.Replace(settings.Example(settings.RoleControl), `"/var/lib/rosemarywind"`, `""`, 1)
		assertRefused(t, settings.RoleControl, text, lineOf(text, "data = "), "data", "required")
	})
	t.Run("name with a slash", func(t *testing.T) {
		text := strings.Replace(entryText, `"e1"`, `"e/1"`, 1)
		assertRefused(t, settings.RoleEntry, text, 1, "name", "bad name")
	})
	t.Run("digest of the wrong length", func(t *testing.T) {
		text := strings.Replace(settings.Example(settings.RoleControl), "digests = []", `digests = ["sha256:00"]`, 1)
		assertRefused(t, settings.RoleControl, text, lineOf(text, "operator_token_digests ="), "operator_token_digests", "bad digest")
	})
	t.Run("not TOML", func(t *testing.T) {
		assertRefused(t, settings.RoleEntry, "name = \"a\"\nname = \"b\"\n", 2, "", "not TOML")
	})
	t.Run("missing file", func(t *testing.T) {
		_, err := settings.LoadEntry(filepath.Join(t.TempDir(), "none"))
		assert.ErrorIs(t, err, os.ErrNotExist)
	})
	t.Run("all problems at once", func(t *testing.T) {
		err := settings.Check(settings.RoleEntry, write(t, entryText+"a = 1\nretry.attempts = 99\n"))
		var problems *document.Problems
		require.ErrorAs(t, err, &problems)
		assert.Len(t, problems.List(), 2)
	})
}

// Guards against values that are each in range but contradict each other, and against a missing key file, which would
// leave an address reachable from other hosts without TLS.
func TestConsistency(t *testing.T) {
	for _, role := range []settings.Role{settings.RoleEntry, settings.RoleAgent, settings.RoleControl} {
		for _, name := range []string{"certificate", "key", "authority"} {
			t.Run(string(role)+" without keys."+name, func(t *testing.T) {
				text := regexp.MustCompile(`(?m)^`+name+` = .*$`).ReplaceAllString(settings.Example(role), "")
				assertRefused(t, role, text, lineOf(text, "[keys]"), "keys."+name, "required")
			})
		}
	}
	t.Run("non-loopback address with keys", func(t *testing.T) {
		text := strings.Replace(entryText, "127.0.0.1:8080", "0.0.0.0:8080", 1)
		require.NoError(t, settings.Check(settings.RoleEntry, write(t, text)))
	})
	t.Run("non-loopback address without keys", func(t *testing.T) {
		text := strings.Replace(settings.Example(settings.RoleStandin), "127.0.0.1:8080", "0.0.0.0:8080", 1)
		assertRefused(t, settings.RoleStandin, text, lineOf(text, "listen = "), "listen", "not a loopback address")
	})
	t.Run("default deadline above the maximum", func(t *testing.T) {
		assertRefused(t, settings.RoleEntry, entryText+"deadline.max = \"1s\"", 7, "deadline.default", "deadline.max")
	})
	t.Run("buffer smaller than one body", func(t *testing.T) {
		assertRefused(t, settings.RoleEntry, entryText+"limits.buffered_bytes = 1", 7, "limits.buffered_bytes", "limits.body_bytes")
	})
	t.Run("memory too small for one body", func(t *testing.T) {
		assertRefused(t, settings.RoleEntry, entryText+"limits.memory_bytes = 67108863", 7, "limits.memory_bytes", "at least 67108864")
	})
	t.Run("least memory", func(t *testing.T) {
		require.NoError(t, settings.Check(settings.RoleEntry, write(t, entryText+"limits.memory_bytes = 67108864")))
	})
	t.Run("own name missing from the members", func(t *testing.T) {
		text := strings.Replace(settings.Example(settings.RoleControl), `name = "control1"`, `name = "c9"`, 1)
		assertRefused(t, settings.RoleControl, text, lineOf(text, "[members]"), "members", `"c9"`)
	})
	t.Run("unspecified listen address without advertise", func(t *testing.T) {
		text := strings.Replace(settings.Example(settings.RoleAgent), `listen = "127.0.0.1:9600"`, `listen = "[::]:9600"`, 1)
		assertRefused(t, settings.RoleAgent, text, 0, "advertise", "required")
	})
}

const entryText = `name = "e1"
availability_zone = "az1"
listen = "127.0.0.1:8080"
operators.listen = "127.0.0.1:0"
control.addresses = ["127.0.0.1:9601"]
keys = {certificate = "c", key = "k", authority = "a"}
`

func assertRefused(t *testing.T, role settings.Role, text string, line int, key string, parts ...string) {
	t.Helper()
	file := write(t, text)
	err := settings.Check(role, file)
	var problem document.Problem
	require.True(t, errors.As(err, &problem), "%v", err)
	assert.Equal(t, file, problem.File())
	assert.Equal(t, line, problem.Line())
	assert.Equal(t, key, problem.Key())
	for _, p := range parts {
		assert.Contains(t, problem.Error(), p)
	}
}

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func lineOf(text, part string) int {
	before, _, _ := strings.Cut(text, part)
	return strings.Count(before, "\n") + 1
}
