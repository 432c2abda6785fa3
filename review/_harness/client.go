package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// answer is the response to a call; status 0 means that none arrived.
type answer struct {
	status int
	body   string
}

func (a answer) String() string {
	if a.status == 0 {
		return "no response (" + a.body + ")"
	}
	return fmt.Sprintf("%d %s", a.status, a.body[:min(len(a.body), 120)])
}

var httpClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// send sends one call.
func send(method, address, path, host, body string) answer {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{body: err.Error()}
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	if host != "" {
		r.Header.Set("Authorization", "Bearer "+clientKey)
		r.Header.Set("Deadline-Ms", "3000")
	}
	a, err := httpClient.Do(r)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{status: a.StatusCode, body: string(text)}
}

// operate sends an operator's call to a control machine, and to the next one after a failure or a 5xx.
func (c *cluster) operate(method, path, body string) (a answer) {
	first := rand.IntN(len(c.controls))
	for i := range c.controls {
		a = send(method, c.address((first+i)%len(c.controls)+1, c.control), path, "", body)
		if a.status != 0 && a.status < http.StatusInternalServerError {
			return a
		}
	}
	return a
}

// call sends a client's call to an entry, up to four times more to other entries if it gets no clear answer.
func (c *cluster) call(method, path, body string) (a answer) {
	first := rand.IntN(len(c.entries))
	for i := range 5 {
		a = send(method, c.address((first+i)%len(c.entries)+1, c.front), path, clientHost, body)
		if a.status != 0 && a.status < http.StatusInternalServerError {
			return a
		}
		time.Sleep(100 * time.Millisecond)
	}
	return a
}

// newJobID returns a job id of 16 hexadecimal digits.
func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands in a job and reports whether it was accepted.
func (c *cluster) submit(prefix, id, body string) bool {
	a := c.call("POST", prefix+id, body)
	c.r.add("client: POST %s%s %s -> %s", prefix, id, body, a)
	return a.status == http.StatusOK
}

// config returns a configuration with two queues: one of priority 1 and one of priority 2.
func config(version, moreRoutes int) string {
	var b bytes.Buffer
	route := func(name, prefix string, priority int) {
		fmt.Fprintf(&b, `{"name":%q,"host":%q,"pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,`+
			`"priority":%d,"service":%q,"maxAttempts":2,"stretch":3.0,"public":false}`, name, clientHost, prefix, priority, service)
	}
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	route("r-7ejsmzz", clientPrefix, 1)
	b.WriteByte(',')
	route("r-jwyy7yx", lastingPrefix, 2)
	for i := range moreRoutes {
		b.WriteByte(',')
		route(fmt.Sprintf("r-more-%05d", i), fmt.Sprintf("/more%05d/", i), 1)
	}
	fmt.Fprintf(&b, `],"services":[{"name":%q,"healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":false,`+
		`"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"kaje80","apiKeys":[%q],"priority":1,"guaranteed":{"gpu":4}}]}`, service, clientKey)
	return b.String()
}
