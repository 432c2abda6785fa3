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

// Load is a plan of requests.
type Load struct {
	url      string
	method   string
	token    string
	urgency  string
	body     string
	keys     string
	rate     int
	duration time.Duration
	now      func() time.Time
	client   *http.Client
}

// Option sets a part of a Load.
type Option func(*Load)

// WithToken sets the caller's token.
func WithToken(token string) Option { return func(l *Load) { l.token = token } }

// WithRequest sets the method, the body and the urgency; an empty urgency leaves the header out.
func WithRequest(method, body, urgency string) Option {
	return func(l *Load) { l.method, l.body, l.urgency = method, body, urgency }
}

// WithKeys gives each request an idempotency key that begins with prefix.
func WithKeys(prefix string) Option { return func(l *Load) { l.keys = prefix } }

// WithRate sets the requests per second and how long they are sent.
func WithRate(perSecond int, d time.Duration) Option {
	return func(l *Load) { l.rate, l.duration = perSecond, d }
}

// idleConnections lets a burst reuse its connections.
const idleConnections = 1024

// New returns a load of 100 GET requests a second to url for 10 s; now is the clock that measures.
func New(url string, now func() time.Time, opts ...Option) *Load {
	l := &Load{
		url: url, now: now, method: http.MethodGet, rate: 100, duration: 10 * time.Second,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Run sends the requests when they are due, whether or not earlier ones have been answered; latencies count from then.
func (l *Load) Run(ctx context.Context) (r *Report, err error) {
	if l.rate < 1 {
		return nil, fmt.Errorf("load: the rate must be at least 1 a second, not %d", l.rate)
	}
	defer l.client.CloseIdleConnections()
	r = newReport()
	count := int(float64(l.rate) * l.duration.Seconds())
	step := time.Second / time.Duration(l.rate)
	begin := l.now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var active sync.WaitGroup
	defer active.Wait()
	for n := range count {
		due := begin.Add(time.Duration(n) * step)
		if wait := due.Sub(l.now()); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return r, nil
			}
		}
		active.Go(func() {
			o, err := l.send(ctx, n)
			r.add(l.now().Sub(due), o, err)
		})
	}
	return r, nil
}

func (l *Load) send(ctx context.Context, n int) (o outcome.Outcome, err error) {
	h, err := http.NewRequestWithContext(ctx, l.method, l.url, bytes.NewBufferString(l.body))
	if err != nil {
		return "", err
	}
	if l.token != "" {
		h.Header.Set("Authorization", "Bearer "+l.token)
	}
	if l.urgency != "" {
		h.Header.Set("Rosemarywind-Urgency", l.urgency)
	}
	if l.keys != "" {
		h.Header.Set("Idempotency-Key", l.keys+strconv.Itoa(n))
	}
	answer, err := l.client.Do(h)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return outcome.Outcome(answer.Header.Get(outcome.Header)), err
}
