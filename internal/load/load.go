package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Generator sends requests to one URL at a fixed rate.
type Generator struct {
	url       string
	method    string
	token     string
	urgency   string
	body      string
	keyPrefix string
	rate      int
	duration  time.Duration
	now       func() time.Time
	client    *http.Client
}

// Option configures a Generator.
type Option func(*Generator)

// WithToken sets the bearer token; without it the requests have no Authorization header.
func WithToken(token string) Option { return func(g *Generator) { g.token = token } }

// WithRequest sets the method, the body and the urgency; an empty urgency omits its header.
func WithRequest(method, body, urgency string) Option {
	return func(g *Generator) { g.method, g.body, g.urgency = method, body, urgency }
}

// WithKeyPrefix gives each request an idempotency key that consists of prefix and the number of the request.
func WithKeyPrefix(prefix string) Option { return func(g *Generator) { g.keyPrefix = prefix } }

// WithRate sets the number of requests per second, at least 1, and for how long they are sent.
func WithRate(perSecond int, d time.Duration) Option {
	return func(g *Generator) { g.rate, g.duration = perSecond, d }
}

// maxIdleConnections is large enough for a burst to reuse the connections of an earlier one.
const maxIdleConnections = 1024

// New returns a generator that sends 100 GET requests a second to url for 10 s; due times and latencies are read from
// now.
func New(url string, now func() time.Time, opts ...Option) *Generator {
	g := &Generator{
		url: url, now: now, method: http.MethodGet, rate: 100, duration: 10 * time.Second,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Run sends each request when it is due, whether or not earlier ones have been answered, and returns when all are
// answered or ctx ends. A latency counts from the time at which the request was due.
func (g *Generator) Run(ctx context.Context) (r *Report, err error) {
	if g.rate < 1 {
		return nil, fmt.Errorf("load: the rate must be at least 1 a second, not %d", g.rate)
	}
	defer g.client.CloseIdleConnections()
	r = newReport()
	count := int(float64(g.rate) * g.duration.Seconds())
	interval := time.Second / time.Duration(g.rate)
	start := g.now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var active sync.WaitGroup
	defer active.Wait()
	for n := range count {
		due := start.Add(time.Duration(n) * interval)
		if wait := due.Sub(g.now()); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return r, nil
			}
		}
		active.Go(func() {
			o, err := g.send(ctx, n)
			r.add(g.now().Sub(due), o, err)
		})
	}
	return r, nil
}

func (g *Generator) send(ctx context.Context, n int) (o outcome.Outcome, err error) {
	h, err := http.NewRequestWithContext(ctx, g.method, g.url, bytes.NewBufferString(g.body))
	if err != nil {
		return "", err
	}
	if g.token != "" {
		h.Header.Set("Authorization", "Bearer "+g.token)
	}
	if g.urgency != "" {
		h.Header.Set("Rosemarywind-Urgency", g.urgency)
	}
	if g.keyPrefix != "" {
		h.Header.Set("Idempotency-Key", g.keyPrefix+strconv.Itoa(n))
	}
	response, err := g.client.Do(h)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return outcome.Outcome(response.Header.Get(outcome.Header)), err
}
