package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, each line with the milliseconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(what string, fields ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8d %s %s\n", time.Since(r.start).Milliseconds(), what, strings.Join(fields, " "))
}

var httpClient = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 16, DisableCompression: true,
}}

// call sends one request and returns the status, 0 without an answer, and the body.
func call(method, address, host, path, key, body string, timeout time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	a, err := httpClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	data, _ := io.ReadAll(a.Body)
	return a.StatusCode, strings.TrimSpace(string(data))
}

// clientTimeout is how long a client waits for a response, the deadline of the sheet.
const clientTimeout = 3 * time.Second

// request sends a client's request to an entry and records it.
func (c *cluster) request(entry int, method, path, key, body string) (status int, answer string) {
	sent := body
	if len(sent) > 300 {
		sent = sent[:300] + "..."
	}
	holder := key
	if key == "" {
		holder = "no key"
	}
	c.record.add("sent", method, path, holder, sent)
	status, answer = call(method, c.frontAddress(entry), hostName, path, key, body, clientTimeout)
	c.record.add("answered", method, path, fmt.Sprint(status), answer)
	return status, answer
}

// submit hands a job in as a client does: it retries without an answer, and after 429, 502, 503 and 504.
func (c *cluster) submit(path, key, body string) bool {
	for i := range 5 {
		if status, _ := c.request(i%3, "POST", path, key, body); status == 200 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
