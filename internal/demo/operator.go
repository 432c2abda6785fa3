package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/keys"
)

const operatorPause = 100 * time.Millisecond

// apiClient is a small client of the operators' interface.
type apiClient struct {
	base  string
	token string
}

// jobView is the part of a job's JSON that the demo looks at.
type jobView struct {
	id      string
	state   string
	result  string
	reason  string
	members int
}

func newAPIClient(base, token string) *apiClient { return &apiClient{base: base, token: token} }

func (c *apiClient) call(ctx context.Context, method, path string, body []byte, into any) (err error) {
	h, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	h.Header.Set("Authorization", "Bearer "+c.token)
	answer, err := http.DefaultClient.Do(h)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s: %s", method, path, answer.Status, strings.TrimSpace(string(data)))
	}
	return json.Unmarshal(data, into)
}

// awaitEndpoints returns when the leader knows n ready endpoints.
func (c *apiClient) awaitEndpoints(ctx context.Context, n int) error {
	for {
		var list []map[string]any
		ready := 0
		err := c.call(ctx, http.MethodGet, "/v1/endpoints", nil, &list)
		for _, e := range list {
			if e["state"] == "ready" {
				ready++
			}
		}
		if err == nil && ready == n {
			return nil
		}
		if !clock.Pause(ctx, operatorPause) {
			return fmt.Errorf("%d of %d endpoints are ready: %w", ready, n, err)
		}
	}
}

func (c *apiClient) apply(ctx context.Context, text string) error {
	return c.call(ctx, http.MethodPost, "/v1/apply", []byte(text), &map[string]any{})
}

func (c *apiClient) submit(ctx context.Context, workspace string) (id string, err error) {
	body, err := json.Marshal(map[string]any{
		"workspace": workspace, "urgency": "patient", "payload": "sleep 300ms", "idempotent": false,
		"shape": map[string]any{"members": 2, "accelerators": 8, "adjacency": "rack"},
	})
	if err != nil {
		return "", err
	}
	j := map[string]any{}
	err = c.call(ctx, http.MethodPost, "/v1/jobs", body, &j)
	id, _ = j["id"].(string)
	return id, err
}

// awaitDone returns the job after it has ended.
func (c *apiClient) awaitDone(ctx context.Context, id string) (v jobView, err error) {
	for {
		j := map[string]any{}
		if err = c.call(ctx, http.MethodGet, "/v1/jobs/"+id, nil, &j); err != nil {
			return jobView{}, err
		}
		v = jobView{id: id}
		v.state, _ = j["state"].(string)
		v.result, _ = j["result"].(string)
		v.reason, _ = j["reason"].(string)
		members, _ := j["members"].([]any)
		v.members = len(members)
		if v.state == "done" {
			return v, nil
		}
		if !clock.Pause(ctx, operatorPause) {
			return v, fmt.Errorf("job %s is %s: %s: %w", id, v.state, v.reason, ctx.Err())
		}
	}
}

// declarationOf returns the declaration of the demo's workspaces.
func declarationOf(tokens map[string]string) string {
	var b strings.Builder
	for _, n := range names {
		_, _ = fmt.Fprintf(&b, `[[workspace]]
name = %q
tenant = %q
guarantee = { members = 2, accelerators = 8, adjacency = "rack" }
limits = { in_flight = 40, queued = 200 }
token_digests = [%q]

`, n, n, keys.Digest(tokens[n]))
	}
	return b.String()
}
