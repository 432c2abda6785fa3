package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// newHTTP returns a client that opens a connection for each request.
func newHTTP(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
}

// exchange sends a request; status 0 means that no answer came.
func exchange(client *http.Client, method, address, path, key string, body any) (status int, answer string) {
	var data []byte
	switch b := body.(type) {
	case nil:
	case string:
		data = []byte(b)
	default:
		data, _ = json.Marshal(b)
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	a, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(text)
}

// route is one route of a configuration.
func route(name, prefix string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": queueHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
		"targetLatencyMs": 1000, "priority": priority, "service": service, "maxAttempts": attempts, "stretch": 3.0, "public": false,
	}
}

// tenant is one tenant of a configuration.
func tenant(name, key string, guaranteed int) map[string]any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "priority": 1, "guaranteed": map[string]any{"gpu": guaranteed}}
}

// configuration returns a complete configuration.
func configuration(version int, routes, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{
			"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false,
			"standby": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// configure sends a configuration to the control hosts in turn until one acknowledges it.
func (c *cluster) configure(config map[string]any) error {
	client := newHTTP(time.Second)
	for n := range 100 {
		status, answer := exchange(client, http.MethodPut, c.fronts[n%len(c.fronts)].at(controlPort), "/-/config", "", config)
		if status == http.StatusOK {
			c.record.add("operator: configuration %v acknowledged", config["version"])
			return nil
		}
		if status == http.StatusBadRequest {
			return fmt.Errorf("configuration refused: %s", answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no control host acknowledges the configuration")
}

// submit hands a job in as a client does: it tries again under the same id after no answer, 502 or 504, and after 429 or
// 503, at the next entry.
func (c *cluster) submit(path, key string, job any) error {
	client := newHTTP(3 * time.Second)
	for n := range 40 {
		status, answer := exchange(client, http.MethodPost, c.fronts[n%len(c.fronts)].at(frontPort), path, key, job)
		c.record.add("client: POST %s answered %d", path, status)
		switch status {
		case http.StatusOK:
			return nil
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			time.Sleep(300 * time.Millisecond)
			continue
		}
		return fmt.Errorf("POST %s answered %d %s", path, status, answer)
	}
	return fmt.Errorf("POST %s was not accepted", path)
}

// state returns the state of a job, empty if no entry tells it.
func (c *cluster) state(path, key string) string {
	client := newHTTP(time.Second)
	for _, f := range c.fronts {
		status, answer := exchange(client, http.MethodGet, f.at(frontPort), path, key, nil)
		var s struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(answer), &s) == nil {
			return s.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return ""
}

// eventually waits until a condition holds, and reports whether it did before the timeout.
func eventually(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
