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

// requireCalled posts an operator's request to the control host that leads and returns the answer.
func requireCalled(t *testing.T, s *System, path, body string) (answer map[string]any) {
	t.Helper()
	return requireSent(t, s, http.MethodPost, path, body)
}

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

// requireDeclared declares workspaces with a guarantee of two members of eight accelerators in one rack each.
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
	requireCalled(t, s, "/v1/apply", text.String())
}

// requireSubmitted submits a job of 60 s with members of eight accelerators each; two of them must be in one rack.
// The traits are fields such as idempotent.
func requireSubmitted(t *testing.T, s *System, in string, members int, traits ...string) (id string) {
	t.Helper()
	adjacency, urgency := "any", "patient"
	if members == 2 {
		adjacency, urgency = "rack", "urgent"
	}
	form := map[string]any{
		"workspace": in, "urgency": urgency, "payload": "sleep 60s",
		"shape": map[string]any{"members": members, "accelerators": 8, "adjacency": adjacency},
	}
	for _, name := range traits {
		form[name] = true
	}
	body, err := json.Marshal(form)
	require.NoError(t, err)
	id, _ = requireCalled(t, s, "/v1/jobs", string(body))["id"].(string)
	require.NotEmpty(t, id)
	return id
}
