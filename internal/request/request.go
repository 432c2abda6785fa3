package request

import (
	"net/textproto"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
)

// Headers maps header names in canonical form to their values.
type Headers map[string][]string

// Get returns the first value of the named header, or an empty string. The name may have any case.
func (h Headers) Get(name string) string {
	v := h[textproto.CanonicalMIMEHeaderKey(name)]
	if len(v) == 0 {
		return ""
	}
	return v[0]
}

// Request is a caller's request. It is immutable and may be shared between goroutines.
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

// Option configures a Request.
type Option func(*Request)

// WithBody sets the headers to forward to the endpoint and the complete body, which the caller must
// not modify afterwards.
func WithBody(headers Headers, body []byte) Option {
	return func(r *Request) { r.headers, r.body = headers, body }
}

// WithUrgency sets the urgency, which orders requests in the queue; the default is patient.
func WithUrgency(u job.Urgency) Option { return func(r *Request) { r.urgency = u } }

// WithIdempotent sets whether the request may run more than once.
func WithIdempotent(idempotent bool) Option { return func(r *Request) { r.idempotent = idempotent } }

// WithKey sets the caller's idempotency key, under which resends of the request are recognized.
func WithKey(key string) Option { return func(r *Request) { r.key = key } }

// WithDeadline sets the time after which the caller no longer waits for an answer.
func WithDeadline(t time.Time) Option { return func(r *Request) { r.deadline = t } }

// New returns a request that is patient and not idempotent unless opts say otherwise. The target is the path and query
// for the endpoint.
func New(id, workspace, method, target string, opts ...Option) Request {
	r := Request{id: id, workspace: workspace, method: method, target: target, urgency: job.Patient}
	for _, o := range opts {
		o(&r)
	}
	return r
}

// ID returns the ID that the entry process assigned, which is unique across processes.
func (r Request) ID() string { return r.id }

// Workspace returns the name of the workspace whose limits apply to the request.
func (r Request) Workspace() string { return r.workspace }

// Method returns the HTTP method as the caller sent it.
func (r Request) Method() string { return r.method }

// Target returns the path and query for the endpoint, without the prefix of the workspace.
func (r Request) Target() string { return r.target }

// Headers returns the headers for the endpoint, which the caller must not modify.
func (r Request) Headers() Headers { return r.headers }

// Body returns the complete body, which the caller must not modify.
func (r Request) Body() []byte { return r.body }

// Urgency returns the urgency, which orders requests in the queue.
func (r Request) Urgency() job.Urgency { return r.urgency }

// Idempotent reports whether the request may run more than once.
func (r Request) Idempotent() bool { return r.idempotent }

// Key returns the idempotency key, empty if the caller sent none.
func (r Request) Key() string { return r.key }

// Deadline returns the time after which the caller no longer waits for an answer.
func (r Request) Deadline() time.Time { return r.deadline }
