package operator_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/operator"
	"rosemarywind.example/rosemarywind/internal/settings"
)

const job = `{"id":"j1","workspace":"w","state":"queued","reason":"waits\u001b[2J","members":[{"worker":"w1"}],"shape":{"members":2,"accelerators":8,"adjacency":"rack"}}`

const control = `{"leader":"c1","term":4,"voters":3,"majority":2,"faults_tolerated":0,"members":[
{"id":"c1","address":"10.0.0.1:1","voter":true,"state":"leader"},{"id":"c2","address":"10.0.0.2:1","voter":true,"state":"silent"},
{"id":"c3","address":"10.0.0.3:1","voter":true,"state":"in-touch"},{"id":"c4-00","address":"10.0.0.4:1","voter":false,"state":"spare"}]}`

// Guards against status output that lacks a column, contains control characters or is not JSON with --json.
func TestStatus(t *testing.T) {
	t.Run("jobs", func(t *testing.T) {
		r := run(t, newControlHost(t, http.StatusOK, `[`+job+`]`), "status")
		assertOutput(t, r, "JOB ", "j1 ", "2x8/rack", "w1")
		assert.NotContains(t, r.out, "\x1b")
	})
	t.Run("jobs as JSON", func(t *testing.T) {
		r := run(t, newControlHost(t, http.StatusOK, `[]`), "status", "--json")
		assert.Equal(t, "[]\n", r.out)
	})
	t.Run("one job", func(t *testing.T) {
		assertOutput(t, run(t, newControlHost(t, http.StatusOK, job), "status", "j1"), "queued")
	})
	t.Run("endpoints", func(t *testing.T) {
		r := run(t, newControlHost(t, http.StatusOK, `[{"name":"w1","state":"ready","slots":8}]`), "status", "--endpoints")
		assertOutput(t, r, "ENDPOINT", "w1", "ready")
	})
	t.Run("evacuated zones", func(t *testing.T) {
		zones := `[{"availability_zone":"z","reason":"power cut","since":"2026-01-05T08:00:00Z"}]`
		c := newControlHost(t, http.StatusOK, zones)
		assertOutput(t, run(t, c, "status", "--zones"), "EVACUATED ZONE  SINCE                 REASON\n", "z               2026-01-05T08:00:00Z  power cut\n")
		assert.True(t, strings.HasPrefix(c.requestLine, "GET /v1/evacuations "), c.requestLine)
		assert.JSONEq(t, zones, run(t, c, "status", "--zones", "--json").out)
	})
	t.Run("control hosts", func(t *testing.T) {
		c := newControlHost(t, http.StatusOK, control)
		assertOutput(t, run(t, c, "status", "--control"), "term 4, 3 voters, 2 are a majority, 0 more may be lost\n",
			"CONTROL HOST  ADDRESS     VOTE  STATE\n", "c2            10.0.0.2:1  yes   silent\n",
			"c4-00         10.0.0.4:1  no    spare\n")
		assert.True(t, strings.HasPrefix(c.requestLine, "GET /v1/control "), c.requestLine)
	})
	t.Run("control hosts as JSON", func(t *testing.T) {
		r := run(t, newControlHost(t, http.StatusOK, control), "status", "--control", "--json")
		assert.JSONEq(t, control, r.out)
	})
	t.Run("configuration", func(t *testing.T) {
		r := run(t, newControlHost(t, http.StatusOK, `{"revision":7,"text":"[defaults]\n"}`), "status", "--config")
		assertOutput(t, r, "# revision 7\n[defaults]\n")
	})
	t.Run("conflicting flags", func(t *testing.T) {
		assertFailed(t, run(t, newControlHost(t, http.StatusOK, ""), "status", "--config", "j1"), operator.ExitUsage, "give one of")
		assertFailed(t, run(t, newControlHost(t, http.StatusOK, ""), "status", "--config", "--control"), operator.ExitUsage, "give one of")
	})
}

// Guards against a job that differs from the flags and a command that sends no request or a wrong one.
func TestJobs(t *testing.T) {
	t.Run("submit", func(t *testing.T) {
		c := newControlHost(t, http.StatusOK, job)
		r := run(t, c, "submit", "--workspace", "w", "--members", "2", "--accelerators", "8", "--adjacency", "rack", "--urgent", "--run-time", "90s")
		assertOutput(t, r, "j1\n")
		var body map[string]any
		require.NoError(t, json.Unmarshal([]byte(c.body), &body))
		assert.Equal(t, "urgent", body["urgency"])
		assert.InDelta(t, 90, body["run_time_s"], 0)
	})
	t.Run("submit without a workspace", func(t *testing.T) {
		assertFailed(t, run(t, newControlHost(t, http.StatusOK, job), "submit"), operator.ExitUsage, "--workspace is required")
	})
	t.Run("submit with two payloads", func(t *testing.T) {
		r := run(t, newControlHost(t, http.StatusOK, job), "submit", "--workspace", "w", "--payload", "a", "--payload-file", "b")
		assertFailed(t, r, operator.ExitUsage, "either")
	})
	t.Run("cancel", func(t *testing.T) {
		c := newControlHost(t, http.StatusOK, job)
		assertOutput(t, run(t, c, "cancel", "--request-id", "i", "j1"), "j1")
		assert.Equal(t, "DELETE /v1/jobs/j1 i", c.requestLine)
	})
	t.Run("cancel without a job", func(t *testing.T) {
		assertFailed(t, run(t, newControlHost(t, http.StatusOK, job), "cancel"), operator.ExitUsage, "exactly one argument, JOB")
	})
	t.Run("explain", func(t *testing.T) {
		r := run(t, newControlHost(t, http.StatusOK, `{"id":"j1","explanation":"no free capacity in rack1"}`), "explain", "j1")
		assertOutput(t, r, "no free capacity in rack1\n")
	})
	t.Run("drain", func(t *testing.T) {
		c := newControlHost(t, http.StatusAccepted, "")
		assertOutput(t, run(t, c, "drain", "w1"), "w1 takes no new work")
		assert.True(t, strings.HasPrefix(c.requestLine, "POST /v1/endpoints/w1/drain "))
		assertOutput(t, run(t, c, "drain", "--undo", "w1"), "w1 takes new work")
		assert.Equal(t, `{"drained":false}`, c.body)
	})
	t.Run("evacuate", func(t *testing.T) {
		c := newControlHost(t, http.StatusAccepted, "")
		assertOutput(t, run(t, c, "evacuate", "z", "--reason", "power cut"), "z takes no new work")
		assert.True(t, strings.HasPrefix(c.requestLine, "POST /v1/zones/z/evacuate "))
		assert.Equal(t, `{"evacuated":true,"reason":"power cut"}`, c.body)
		assertOutput(t, run(t, c, "evacuate", "--undo", "z"), "z takes new work")
		assert.Equal(t, `{"evacuated":false}`, c.body)
		assertFailed(t, run(t, c, "evacuate", "--undo", "--reason", "over", "z"), operator.ExitUsage, "no --reason")
	})
}

// Guards against a change that overwrites a concurrent one, and an invalid declaration that is sent to a control host.
func TestApply(t *testing.T) {
	file := write(t, "# revision 7\n[defaults]\ntask_lease = \"1m\"\n")
	t.Run("base from the file", func(t *testing.T) {
		c := newControlHost(t, http.StatusOK, `{"revision":8,"changes":["added default task_lease: 1m"],"repeated":true}`)
		assertOutput(t, run(t, c, "apply", file), "added default task_lease: 1m\n", "revision 8 (already accepted before)")
		assert.True(t, strings.HasPrefix(c.requestLine, "POST /v1/apply?base=7 "), c.requestLine)
	})
	t.Run("base from the flag", func(t *testing.T) {
		c := newControlHost(t, http.StatusOK, `{"revision":8}`)
		assertOutput(t, run(t, c, "apply", "--base", "5", file), "revision 8\n")
		assert.True(t, strings.HasPrefix(c.requestLine, "POST /v1/apply?base=5 "), c.requestLine)
	})
	t.Run("no base", func(t *testing.T) {
		r := run(t, newControlHost(t, http.StatusOK, ""), "apply", write(t, ""))
		assertFailed(t, r, operator.ExitUsage, "--base REVISION")
	})
	t.Run("conflict", func(t *testing.T) {
		c := newControlHost(t, http.StatusConflict, `{"reason":"revision-conflict","revision":9}`)
		assertFailed(t, run(t, c, "apply", file), operator.ExitConflict, "revision 9")
	})
	t.Run("bad declaration", func(t *testing.T) {
		c := newControlHost(t, http.StatusOK, "")
		bad := write(t, "# revision 7\n[defaults]\nlease = 1\n")
		assertFailed(t, run(t, c, "apply", bad), operator.ExitFailed, bad+`:3: key "defaults.lease"`)
		assert.Empty(t, c.requestLine)
	})
	t.Run("missing file", func(t *testing.T) {
		r := run(t, newControlHost(t, http.StatusOK, ""), "apply", filepath.Join(t.TempDir(), "none"))
		assertFailed(t, r, operator.ExitUsage, "read declaration")
	})
	t.Run("diff", func(t *testing.T) {
		c := newControlHost(t, http.StatusOK, `{"revision":7,"changes":["a"]}`)
		assertOutput(t, run(t, c, "diff", file), "a\n1 changes to revision 7\n")
		assert.True(t, strings.HasPrefix(c.requestLine, "POST /v1/apply?base=7&dry=true "), c.requestLine)
	})
	t.Run("diff from an older revision", func(t *testing.T) {
		r := run(t, newControlHost(t, http.StatusOK, `{"revision":9,"changes":["a"]}`), "diff", file)
		assert.Equal(t, operator.ExitConflict, r.code)
		assert.Contains(t, r.err, "the base is revision 7, the present one is 9")
	})
}

// Guards against a trace that is not propagated to the control host, and a command that fails because the collector is
// unreachable.
func TestTrace(t *testing.T) {
	c := newControlHost(t, http.StatusOK, `[]`)
	t.Run("file", func(t *testing.T) {
		spans := filepath.Join(t.TempDir(), "spans")
		file := write(t, fmt.Sprintf("control.urls = [%q]\ntoken_file = %q\ntrace.file = %q\n", c.url, write(t, "hunter2"), spans))
		assertOutput(t, execute(t, "status", "--settings", file), "JOB")
		data, err := os.ReadFile(spans)
		require.NoError(t, err)
		assert.Contains(t, string(data), `"Name":"status"`)
		require.Len(t, strings.Split(c.trace, "-"), 4)
		assert.Contains(t, string(data), strings.Split(c.trace, "-")[1])
		assert.NotContains(t, string(data), "hunter2")
	})
	t.Run("unreachable collector", func(t *testing.T) {
		file := write(t, fmt.Sprintf("control.urls = [%q]\ntoken_file = %q\ntrace.otlp = \"http://127.0.0.1:1\"\n", c.url, write(t, "hunter2")))
		assertOutput(t, execute(t, "status", "--settings", file), "JOB")
	})
	t.Run("file that cannot be opened", func(t *testing.T) {
		file := write(t, fmt.Sprintf("control.urls = [%q]\ntrace.file = %q\n", c.url, t.TempDir()))
		assertFailed(t, execute(t, "status", "--settings", file), operator.ExitUsage, "set up tracing")
	})
}

// Guards against exit codes that differ from the documented ones.
func TestExitCodes(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		c := newControlHost(t, http.StatusForbidden, `{"outcome":"not-run","reason":"unauthorized","message":"no token"}`)
		assertFailed(t, run(t, c, "status"), operator.ExitFailed, "unauthorized: no token")
	})
	t.Run("may have run", func(t *testing.T) {
		c := newControlHost(t, http.StatusGatewayTimeout, `{"outcome":"may-have-run","reason":"deadline-exceeded"}`)
		assertFailed(t, run(t, c, "cancel", "j1"), operator.ExitUnknown, "deadline-exceeded")
	})
	t.Run("lost answer", func(t *testing.T) {
		c := newControlHost(t, 0, "")
		assertFailed(t, run(t, c, "cancel", "--request-id", "i", "j1"), operator.ExitUnknown, "outcome unknown of request i")
	})
	t.Run("exit code of a role", func(t *testing.T) {
		assert.Equal(t, 2, operator.ExitCode(cli.Exit("bad settings", 2)))
		assert.Equal(t, operator.ExitFailed, operator.ExitCode(io.EOF))
		assert.Equal(t, operator.ExitOK, operator.ExitCode(nil))
	})
	t.Run("unknown flag", func(t *testing.T) {
		assertFailed(t, run(t, newControlHost(t, http.StatusOK, ""), "status", "--nope"), operator.ExitUsage, "nope")
	})
	t.Run("unknown command", func(t *testing.T) {
		assertFailed(t, execute(t, "frobnicate"), operator.ExitUsage, `unknown command "frobnicate"`)
		assertFailed(t, execute(t, "keys", "frobnicate"), operator.ExitUsage, `unknown command "frobnicate"`)
		assertFailed(t, execute(t), operator.ExitUsage, "command is required")
	})
	t.Run("no settings", func(t *testing.T) {
		t.Setenv(operator.SettingsVariable, "")
		assertFailed(t, execute(t, "status"), operator.ExitUsage, "--settings FILE is required")
	})
	t.Run("bad settings", func(t *testing.T) {
		assertFailed(t, execute(t, "status", "--settings", write(t, "a = 1")), operator.ExitUsage, `:1: key "a": unknown key`)
	})
	t.Run("missing token", func(t *testing.T) {
		file := write(t, "control.urls = [\"http://127.0.0.1:1\"]\ntoken_file = \"/none\"\n")
		assertFailed(t, execute(t, "status", "--settings", file), operator.ExitUsage, "read token")
	})
	t.Run("help", func(t *testing.T) {
		assertOutput(t, execute(t, "--help"), "apply", "submit", "drain", "keys", "settings")
		assertOutput(t, execute(t, "apply", "--help"), "--base", "--request-id")
	})
}

// Guards against key files that the processes cannot use, and an authority that is overwritten.
func TestKeys(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "ca")
	assertOutput(t, execute(t, "keys", "authority", "--out", folder), "authority.pem")
	t.Run("issue beside the authority", func(t *testing.T) {
		assertOutput(t, execute(t, "keys", "issue", "--authority", folder, "--role", "agent", "--name", "w1", "--ip", "127.0.0.1"), "agent-w1.pem")
		requireUsable(t, folder, "agent-w1", "agent/w1")
	})
	t.Run("issue to another folder", func(t *testing.T) {
		out := filepath.Join(t.TempDir(), "e1")
		assertOutput(t, execute(t, "keys", "issue", "--authority", folder, "--role", "entry", "--name", "e1", "--out", out), "entry-e1.pem")
		requireUsable(t, out, "entry-e1", "entry/e1")
		assert.NoFileExists(t, filepath.Join(out, "authority.key"))
	})
	t.Run("authority is not replaced", func(t *testing.T) {
		assertFailed(t, execute(t, "keys", "authority", "--out", folder), operator.ExitFailed, "exists")
	})
	t.Run("bad usage", func(t *testing.T) {
		assertFailed(t, execute(t, "keys", "authority"), operator.ExitUsage, "--out")
		assertFailed(t, execute(t, "keys", "issue"), operator.ExitUsage, "--authority")
		assertFailed(t, execute(t, "keys", "issue", "--authority", folder, "--role", "agent", "--name", "a/b"), operator.ExitUsage, "identity")
		assertFailed(t, execute(t, "keys", "issue", "--authority", folder, "--role", "agent", "--name", "a", "--ip", "host"), operator.ExitUsage, "not an IP")
		assertFailed(t, execute(t, "keys", "issue", "--authority", folder, "--days", "0"), operator.ExitUsage, "--days")
	})
	t.Run("token", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "token")
		r := execute(t, "keys", "token", "--out", file)
		assertOutput(t, r, "sha256:")
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		assert.True(t, keys.Match(strings.TrimSpace(string(data)), []string{strings.TrimSpace(r.out)}))
		assertFailed(t, execute(t, "keys", "token", "--out", file), operator.ExitFailed, "exists")
		assertOutput(t, execute(t, "keys", "token"), "token ", "digest sha256:")
	})
}

// Guards against settings commands whose result differs from the checks at the start of a role.
func TestSettings(t *testing.T) {
	for _, r := range settings.Roles() {
		t.Run(string(r), func(t *testing.T) {
			example := execute(t, "settings", "example", string(r))
			assertOutput(t, execute(t, "settings", "check", "--role", string(r), write(t, example.out)), "ok for "+string(r))
		})
	}
	t.Run("bad file", func(t *testing.T) {
		assertFailed(t, execute(t, "settings", "check", write(t, "a = 1"), "--role", "agent"), operator.ExitUsage, `key "a": unknown key`)
	})
	t.Run("bad role", func(t *testing.T) {
		assertFailed(t, execute(t, "settings", "check", "f", "--role", "relay"), operator.ExitUsage, `role "relay"`)
		assertFailed(t, execute(t, "settings", "example"), operator.ExitUsage, "ROLE")
	})
}

// controlHost is a stub of a control host that gives one fixed answer and records the latest request; for status 0 it
// aborts the connection.
type controlHost struct {
	url         string
	requestLine string
	body        string
	trace       string
}

func newControlHost(t *testing.T, status int, answer string) *controlHost {
	t.Helper()
	h := &controlHost{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		assert.Equal(t, "Bearer hunter2", r.Header.Get("Authorization"))
		h.body = string(body)
		h.trace = r.Header.Get("traceparent")
		h.requestLine = fmt.Sprintf("%s %s %s", r.Method, r.URL.RequestURI(), r.Header.Get("Rosemarywind-Request-Id"))
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, answer)
	}))
	t.Cleanup(s.Close)
	h.url = s.URL
	return h
}

type result struct {
	code int
	out  string
	err  string
}

// run executes a command with settings that name the control host.
func run(t *testing.T, h *controlHost, command string, args ...string) result {
	t.Helper()
	token := write(t, "hunter2\n")
	file := write(t, fmt.Sprintf("control.urls = [%q]\ntoken_file = %q\ntimeout = \"300ms\"\n", h.url, token))
	r := execute(t, append([]string{command, "--settings", file}, args...)...)
	assert.NotContains(t, r.out+r.err, "hunter2")
	return r
}

func execute(t *testing.T, args ...string) result {
	t.Helper()
	var out, failed bytes.Buffer
	root := &cli.Command{Name: "rosemarywind", Commands: operator.Commands(), Writer: &out, ErrWriter: &failed}
	code := operator.Execute(t.Context(), root, append([]string{"rosemarywind"}, args...))
	return result{code: code, out: out.String(), err: failed.String()}
}

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func assertOutput(t *testing.T, r result, parts ...string) {
	t.Helper()
	assert.Equal(t, operator.ExitOK, r.code, r.err)
	for _, p := range parts {
		assert.Contains(t, r.out, p)
	}
}

func assertFailed(t *testing.T, r result, code int, part string) {
	t.Helper()
	assert.Equal(t, code, r.code, r.err)
	assert.Contains(t, r.err, part)
	assert.Empty(t, r.out)
}

func requireUsable(t *testing.T, folder, stem, identity string) {
	t.Helper()
	r, err := keys.NewReloader(filepath.Join(folder, stem+".pem"), filepath.Join(folder, stem+".key"), filepath.Join(folder, "authority.pem"))
	require.NoError(t, err)
	assert.Equal(t, identity, r.Identity().String())
}
