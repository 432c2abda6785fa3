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

// Caller sends callers' requests to the entry hosts.
type Caller struct {
	options options
	hosts   []string
	http    *http.Client
	next    atomic.Uint64
}

// NewCaller returns a client of the entry hosts with the given base URLs.
func NewCaller(hosts []string, list ...Option) (c *Caller, err error) {
	c = &Caller{options: newOptions(defaultCallTimeout, 0, list), http: newTransport()}
	if c.hosts, err = parseHosts(hosts); err != nil {
		return nil, fmt.Errorf("caller client: %w", err)
	}
	return c, nil
}

// Close closes the idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Call is one request to a workspace.
type Call struct {
	message    message
	idempotent bool
	key        string
}

// CallOption sets a part of a Call.
type CallOption func(*Call)

// NewCall returns a request whose path goes to the endpoint; it is idempotent if its method is.
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

// WithKey sets the key by which an entry host recognizes a retry of a non-idempotent request.
func WithKey(key string) CallOption {
	return func(c *Call) {
		c.key = key
		c.message.header.Set(KeyHeader, key)
	}
}

// WithIdempotence states whether the request may run more than once, whatever its method.
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

// WithUrgentCall marks the request as urgent.
func WithUrgentCall() CallOption {
	return func(c *Call) { c.message.header.Set(UrgencyHeader, "urgent") }
}

// WithDeadline sets the time after which the answer is of no use.
func WithDeadline(d time.Duration) CallOption {
	return func(c *Call) { c.message.header.Set(DeadlineHeader, strconv.FormatInt(d.Milliseconds(), 10)) }
}

// WithContentType sets the media type of the body.
func WithContentType(t string) CallOption {
	return func(c *Call) { c.message.header.Set("Content-Type", t) }
}

// Answer is the whole answer to a call.
type Answer struct{ reply reply }

// Status returns the HTTP status.
func (a Answer) Status() int { return a.reply.status }

// Header returns the HTTP header.
func (a Answer) Header() http.Header { return a.reply.header }

// Body returns the body.
func (a Answer) Body() []byte { return a.reply.body }

// Outcome returns whether the request was run.
func (a Answer) Outcome() outcome.Outcome {
	return outcome.Outcome(a.reply.header.Get(outcome.Header))
}

// Do sends a call to an entry host and goes on to the next one when it cannot have been run twice by that.
// Refusals of an entry host are answers; an error is *Unknown or *Unreachable.
func (c *Caller) Do(ctx context.Context, call *Call) (a Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.timeout)
	defer cancel()
	last := errors.New("no host is given")
	first := int(c.next.Add(1) % uint64(len(c.hosts)))
	delivered := false
	for i := range c.hosts {
		host := c.hosts[(first+i)%len(c.hosts)]
		r, sent, err := attempt(ctx, c.http, c.options, host, call.message)
		if err == nil {
			return Answer{reply: r}, nil
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
