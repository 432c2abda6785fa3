package client

import (
	"fmt"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Failure is the error of a request that did not succeed: *Refusal, *Conflict, *Unknown or *Unreachable.
//
//sumtype:decl
type Failure interface {
	error
	isFailure()
}

// Refusal is an error answer of a host.
type Refusal struct {
	status int
	body   RefusalBody
}

// Conflict is the refusal of a configuration change whose base revision is not the current revision.
type Conflict struct {
	revision uint64
	message  string
}

// Unknown means that a request was sent, but no answer states its outcome. The request may have had its effect.
type Unknown struct {
	requestID string
	cause     error
}

// Unreachable means that no host received the request, or that only the answer to an operator's read was lost. The
// request had no effect.
type Unreachable struct {
	cause error
}

func (*Refusal) isFailure()     {}
func (*Conflict) isFailure()    {}
func (*Unknown) isFailure()     {}
func (*Unreachable) isFailure() {}

// Status returns the HTTP status code.
func (r *Refusal) Status() int { return r.status }

// Outcome returns the outcome of the request, or "" if the host stated none.
func (r *Refusal) Outcome() outcome.Outcome { return outcome.Outcome(r.body.Outcome) }

// Reason returns the reason of the refusal, or "" if the host stated none.
func (r *Refusal) Reason() outcome.Reason { return outcome.Reason(r.body.Reason) }

// Message returns an explanation for people, or the first 200 bytes of an answer that is not JSON.
func (r *Refusal) Message() string { return r.body.Message }

// Error returns a text with the status, the reason and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with %d %s: %s", r.status, r.body.Reason, r.body.Message)
}

// Revision returns the current revision, on which a new change must be based.
func (c *Conflict) Revision() uint64 { return c.revision }

// Error returns a text with the current revision and the message.
func (c *Conflict) Error() string {
	return fmt.Sprintf("refused: the configuration is at revision %d now: %s", c.revision, c.message)
}

// RequestID returns the request id, or the idempotency key of a Call. A retry with the same id or key has no second
// effect; it is "" for a call without a key.
func (u *Unknown) RequestID() string { return u.requestID }

// Unwrap returns the error of the last attempt.
func (u *Unknown) Unwrap() error { return u.cause }

// Error returns a text with the request id and the error of the last attempt.
func (u *Unknown) Error() string {
	return fmt.Sprintf("outcome unknown of request %s: %v", u.requestID, u.cause)
}

// Unwrap returns the error of the last attempt.
func (u *Unreachable) Unwrap() error { return u.cause }

// Error returns a text with the error of the last attempt.
func (u *Unreachable) Error() string { return fmt.Sprintf("no host took the request: %v", u.cause) }
