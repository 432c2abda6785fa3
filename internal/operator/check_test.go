package operator_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/operator"
)

// Guards against a check that misses what a control host knows, changes something, or ends with a wrong exit code.
func TestCheck(t *testing.T) {
	same := write(t, "# revision 7\n[defaults]\ntask_lease = \"1m\"\n")
	t.Run("no findings", func(t *testing.T) {
		assertOutput(t, run(t, newCheckHost(t, http.StatusOK), "check", same), "no findings")
	})
	t.Run("differences only", func(t *testing.T) {
		r := run(t, newCheckHost(t, http.StatusOK), "check", write(t, "# revision 7\n"))
		assertChecked(t, r, operator.ExitDifferences, "errors: 0, warnings: 0, differences: 1", "default task_lease", "removed: 1m")
	})
	t.Run("warnings", func(t *testing.T) {
		text := "[defaults]\ntask_lease = \"1m\"\nrequest_in_flight = 9\n"
		r := run(t, newCheckHost(t, http.StatusOK), "check", write(t, text))
		assertChecked(t, r, operator.ExitWarnings, "warnings: 1", "more than the 8 slots")
	})
	t.Run("other base", func(t *testing.T) {
		r := run(t, newCheckHost(t, http.StatusOK), "check", "--base", "6", same)
		assertChecked(t, r, operator.ExitErrors, "errors: 1", "made from revision 6")
	})
	t.Run("refused by the control host", func(t *testing.T) {
		r := run(t, newCheckHost(t, http.StatusBadRequest), "check", same)
		assertChecked(t, r, operator.ExitErrors, "errors: 1", "guarantees do not fit")
	})
	t.Run("control host that cannot be reached", func(t *testing.T) {
		assertFailed(t, run(t, newCheckHost(t, http.StatusServiceUnavailable), "check", same), operator.ExitFailed, "refused with 503")
	})
	t.Run("offline", func(t *testing.T) {
		t.Setenv(operator.SettingsVariable, "")
		bad := write(t, "[defaults]\nlease = 1\ntask_lease = 1\n")
		assertChecked(t, execute(t, "check", "--offline", bad), operator.ExitErrors, "errors: 2", "line 2 defaults.lease", "line 3 defaults.task_lease")
		assertOutput(t, execute(t, "check", "--offline", same), "no findings")
		guarantee := write(t, "[[workspace]]\nname = \"a\"\ntenant = \"t\"\nguarantee = {members = 2, accelerators = 8, adjacency = \"any\"}\n")
		r := execute(t, "check", "--offline", "--accelerators", "8", guarantee)
		assertChecked(t, r, operator.ExitWarnings, "warnings: 1", "16 accelerators are guaranteed")
	})
	t.Run("JSON", func(t *testing.T) {
		r := execute(t, "check", "--offline", "--json", write(t, "[defaults]\nlease = 1\n"))
		var found []map[string]any
		require.NoError(t, json.Unmarshal([]byte(r.out), &found))
		require.Len(t, found, 1)
		assert.Equal(t, "error", found[0]["kind"])
		assert.Equal(t, "defaults.lease", found[0]["key"])
		assert.Equal(t, "[]\n", execute(t, "check", "--offline", "--json", same).out)
	})
	t.Run("missing file", func(t *testing.T) {
		assertFailed(t, execute(t, "check", "--offline", "/none"), operator.ExitUsage, "read declaration")
		assertFailed(t, execute(t, "check", "--offline"), operator.ExitUsage, "exactly one argument")
	})
}

// newCheckHost returns a stub of a control host at revision 7 with one endpoint, which answers a dry run with status and
// fails the test on a change.
func newCheckHost(t *testing.T, status int) *controlHost {
	t.Helper()
	answers := map[string]string{
		"GET /v1/config":                 `{"revision":7,"text":"[defaults]\ntask_lease = \"1m\"\n"}`,
		"GET /v1/endpoints":              `[{"name":"w1","slots":8,"accelerators":8}]`,
		"POST /v1/apply?base=7&dry=true": `{"revision":7,"outcome":"not-run","reason":"bad-request","message":"guarantees do not fit"}`,
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		line := fmt.Sprintf("%s %s", r.Method, r.URL.RequestURI())
		answer, known := answers[line]
		assert.True(t, known, line)
		if r.Method == http.MethodPost {
			w.WriteHeader(status)
		}
		_, _ = io.WriteString(w, answer)
	}))
	t.Cleanup(s.Close)
	return &controlHost{url: s.URL}
}

// assertChecked checks the exit code, the summary on standard error and parts of the findings.
func assertChecked(t *testing.T, r result, code int, summary string, parts ...string) {
	t.Helper()
	assert.Equal(t, code, r.code, r.err)
	assert.Contains(t, r.err, summary)
	for _, p := range parts {
		assert.Contains(t, r.out, p)
	}
}
