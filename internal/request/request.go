package request

import (
	"net/textproto"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
)

// Headers maps canonical header names to values.
type Headers map[string][]string

// Get returns the first value of the named header, or an empty string.
func (h Headers) Get(name string) string {
	v := h[textproto.CanonicalMIMEHeaderKey(name)]
	if len(v) == 0 {
		return ""
	}
	return v[0]
}

// Request is one caller's request; it is immutable.
type Request struct {
	id         string
	workspace  string
	method     string
	target     string
	headers    Headers
	body       []byte
	urgency    job.Urgency
	idempotent bool
	key        string
	deadline   time.Time
}

// Option sets a part of a Request.
type Option func(*Request)

// WithBody sets the headers that go to the endpoint and the whole body.
func WithBody(headers Headers, body []byte) Option {
	return func(r *Request) { r.headers, r.body = headers, body }
}

// WithUrgency sets the urgency; the default is patient.
func WithUrgency(u job.Urgency) Option { return func(r *Request) { r.urgency = u } }

// WithIdempotent marks the request as one that may run more than once.
func WithIdempotent(yes bool) Option { return func(r *Request) { r.idempotent = yes } }

// WithKey sets the caller's idempotency key.
func WithKey(key string) Option { return func(r *Request) { r.key = key } }

// WithDeadline sets the moment after which the answer is of no use.
func WithDeadline(t time.Time) Option { return func(r *Request) { r.deadline = t } }

// New returns a patient request that is not idempotent.
func New(id, workspace, method, target string, opts ...Option) Request {
	r := Request{id: id, workspace: workspace, method: method, target: target, urgency: job.Patient}
	for _, o := range opts {
		o(&r)
	}
	return r
}

// ID returns the identity that the entry process drew.
func (r Request) ID() string { return r.id }

// Workspace returns the name of the workspace that the request counts against.
func (r Request) Workspace() string { return r.workspace }

// Method returns the HTTP method.
func (r Request) Method() string { return r.method }

// Target returns the path and query that the endpoint sees.
func (r Request) Target() string { return r.target }

// Headers returns the headers for the endpoint, which the caller must not modify.
func (r Request) Headers() Headers { return r.headers }

// Body returns the whole body, which the caller must not modify.
func (r Request) Body() []byte { return r.body }

// Urgency returns the urgency.
func (r Request) Urgency() job.Urgency { return r.urgency }

// Idempotent reports whether the request may run more than once.
func (r Request) Idempotent() bool { return r.idempotent }

// Key returns the idempotency key, empty when the caller sent none.
func (r Request) Key() string { return r.key }

// Deadline returns the moment after which the answer is of no use.
func (r Request) Deadline() time.Time { return r.deadline }
