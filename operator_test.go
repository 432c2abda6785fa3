package rosemarywind

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// requirePosted posts an operator's request to the leader and returns the decoded answer.
func requirePosted(t *testing.T, s *System, path, body string) (answer map[string]any) {
	t.Helper()
	return requireSent(t, s, http.MethodPost, path, body)
}

// requireSent sends an operator's request to each control host until one does not answer that it is a follower.
func requireSent(t *testing.T, s *System, method, path, body string) (answer map[string]any) {
	t.Helper()
	status, data := 0, []byte(nil)
	for _, url := range s.ControlURLs() {
		if status, data = requireAnswered(t, s, method, url+path, body); status != http.StatusMisdirectedRequest {
			break
		}
	}
	require.Equal(t, http.StatusOK, status, string(data))
	require.NoError(t, json.Unmarshal(data, &answer))
	return answer
}

func requireAnswered(t *testing.T, s *System, method, url, body string) (status int, data []byte) {
	t.Helper()
	h, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewBufferString(body))
	require.NoError(t, err)
	h.Header.Set("Authorization", "Bearer "+s.OperatorToken())
	r, err := http.DefaultClient.Do(h)
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	data, err = io.ReadAll(r.Body)
	require.NoError(t, err)
	return r.StatusCode, data
}

// requireDeclared applies a configuration of workspaces, each with a guarantee of two members of eight accelerators in
// one rack.
func requireDeclared(t *testing.T, s *System, workspaces ...string) {
	t.Helper()
	var text strings.Builder
	for _, w := range workspaces {
		_, _ = fmt.Fprintf(&text, `[[workspace]]
name = %q
tenant = %q
guarantee = { members = 2, accelerators = 8, adjacency = "rack" }
limits = { in_flight = 1, queued = 1 }
`, w, w)
	}
	requirePosted(t, s, "/v1/apply", text.String())
}

// requireSubmitted submits a job of 60 s whose members get eight accelerators each, and returns its id. A job of two
// members is urgent and must be in one rack, as the guarantee. Traits are names of JSON fields to set to true, such as
// idempotent.
func requireSubmitted(t *testing.T, s *System, workspace string, members int, traits ...string) (id string) {
	t.Helper()
	adjacency, urgency := "any", "patient"
	if members == 2 {
		adjacency, urgency = "rack", "urgent"
	}
	fields := map[string]any{
		"workspace": workspace, "urgency": urgency, "payload": "sleep 60s",
		"shape": map[string]any{"members": members, "accelerators": 8, "adjacency": adjacency},
	}
	for _, name := range traits {
		fields[name] = true
	}
	body, err := json.Marshal(fields)
	require.NoError(t, err)
	id, _ = requirePosted(t, s, "/v1/jobs", string(body))["id"].(string)
	require.NotEmpty(t, id)
	return id
}
