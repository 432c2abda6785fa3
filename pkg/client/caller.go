package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Caller is a client of the entry hosts. It is safe for concurrent use and rotates over the hosts.
type Caller struct {
	options options
	hosts   []string
	http    *http.Client
	next    atomic.Uint64
}

// NewCaller returns a client of the entry hosts with the given base URLs. It returns an error if there are none, or if
// one is not an http or https URL.
func NewCaller(hosts []string, list ...Option) (c *Caller, err error) {
	c = &Caller{options: newOptions(defaultCallTimeout, 0, list), http: newHTTPClient()}
	if c.hosts, err = parseHosts(hosts); err != nil {
		return nil, fmt.Errorf("caller client: %w", err)
	}
	return c, nil
}

// Close closes idle connections. Calls in progress continue.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Call is a request to a workspace. It can be sent several times, also concurrently.
type Call struct {
	message    message
	idempotent bool
	key        string
}

// CallOption configures a Call.
type CallOption func(*Call)

// NewCall returns a call; the endpoint receives method, path and body. The call is idempotent if its method is, unless
// WithIdempotence states otherwise.
func NewCall(method, workspace, path string, body []byte, list ...CallOption) *Call {
	c := &Call{message: message{
		method: method, header: http.Header{}, body: body,
		path: "/w/" + url.PathEscape(workspace) + "/" + strings.TrimPrefix(path, "/"),
	}}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		c.idempotent = true
	}
	for _, set := range list {
		set(c)
	}
	return c
}

// WithKey sets the idempotency key, by which the entry hosts recognize a retry of a call that is not idempotent.
func WithKey(key string) CallOption {
	return func(c *Call) {
		c.key = key
		c.message.header.Set(KeyHeader, key)
	}
}

// WithIdempotence states whether the call may run more than once. It overrides the default for the method.
func WithIdempotence(yes bool) CallOption {
	return func(c *Call) {
		c.idempotent = yes
		value := "no"
		if yes {
			value = "yes"
		}
		c.message.header.Set(IdempotentHeader, value)
	}
}

// WithUrgentCall marks the call as urgent; calls are patient by default.
func WithUrgentCall() CallOption {
	return func(c *Call) { c.message.header.Set(UrgencyHeader, "urgent") }
}

// WithDeadline sets the time, from the arrival at the entry host, after which the entry host gives up the call. It is
// sent in whole milliseconds.
func WithDeadline(d time.Duration) CallOption {
	return func(c *Call) { c.message.header.Set(DeadlineHeader, strconv.FormatInt(d.Milliseconds(), 10)) }
}

// WithContentType sets the Content-Type header of the call.
func WithContentType(t string) CallOption {
	return func(c *Call) { c.message.header.Set("Content-Type", t) }
}

// Answer is a complete answer to a call, from an endpoint or, for a refusal, from the entry host.
type Answer struct{ reply reply }

// Status returns the HTTP status code.
func (a Answer) Status() int { return a.reply.status }

// Header returns the HTTP header, which the caller must not modify.
func (a Answer) Header() http.Header { return a.reply.header }

// Body returns the body, which the caller must not modify.
func (a Answer) Body() []byte { return a.reply.body }

// Outcome returns the outcome that the entry host stated, or "" if it stated none.
func (a Answer) Outcome() outcome.Outcome {
	return outcome.Outcome(a.reply.header.Get(outcome.Header))
}

// refused reports whether the entry host refused the call, as far as it says.
func (a Answer) refused() bool {
	o := a.Outcome()
	return a.Status() >= http.StatusBadRequest && o != outcome.Ran && o != outcome.MayHaveRun
}

// Do sends a call to an entry host. If that fails, it tries each other entry host once, unless a second delivery could
// run the call twice. A refusal by an entry host is returned as an Answer, unless an earlier host may have received the
// call. The error is *Unknown if a host may have received the call, and *Unreachable if none did.
func (c *Caller) Do(ctx context.Context, call *Call) (a Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.timeout)
	defer cancel()
	last := errors.New("no host is given")
	first := int(c.next.Add(1) % uint64(len(c.hosts)))
	delivered := false
	for i := range c.hosts {
		host := c.hosts[(first+i)%len(c.hosts)]
		r, sent, err := attempt(ctx, c.http, c.options, host, call.message)
		a = Answer{reply: r}
		if err == nil && delivered && a.refused() {
			return Answer{}, &Unknown{requestID: call.key, cause: refusalOf(r)}
		}
		if err == nil {
			return a, nil
		}
		delivered, last = delivered || sent, err
		if sent && !call.idempotent && call.key == "" {
			break
		}
	}
	if delivered {
		return Answer{}, &Unknown{requestID: call.key, cause: last}
	}
	return Answer{}, &Unreachable{cause: last}
}
