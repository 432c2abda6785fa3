package request

import (
	"time"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Result is how an attempt at a request ended.
//
//sumtype:decl
type Result interface {
	result()
}

// Answered is the whole answer of an endpoint.
type Answered struct {
	status  int
	headers Headers
	body    []byte
}

// Refused says that the request was not run, by a point that knows.
type Refused struct {
	reason     outcome.Reason
	message    string
	retryAfter time.Duration
}

// Lost says that the request may have run and that no whole answer came back.
type Lost struct {
	reason  outcome.Reason
	message string
}

// NewAnswered returns an answer with HTTP status, headers and the whole body.
func NewAnswered(status int, headers Headers, body []byte) Answered {
	return Answered{status: status, headers: headers, body: body}
}

// NewRefused returns a refusal; retryAfter is 0 when waiting does not help.
func NewRefused(reason outcome.Reason, message string, retryAfter time.Duration) Refused {
	return Refused{reason: reason, message: message, retryAfter: retryAfter}
}

// NewLost returns the loss of an answer.
func NewLost(reason outcome.Reason, message string) Lost {
	return Lost{reason: reason, message: message}
}

func (Answered) result() {}
func (Refused) result()  {}
func (Lost) result()     {}

// Status returns the HTTP status of the endpoint.
func (a Answered) Status() int { return a.status }

// Headers returns the headers of the endpoint, which the caller must not modify.
func (a Answered) Headers() Headers { return a.headers }

// Body returns the whole body, which the caller must not modify.
func (a Answered) Body() []byte { return a.body }

// Reason returns why the request was refused.
func (r Refused) Reason() outcome.Reason { return r.reason }

// Message returns the reason for people.
func (r Refused) Message() string { return r.message }

// RetryAfter returns how long to wait before a resend, 0 when waiting does not help.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// Reason returns why the answer was lost.
func (l Lost) Reason() outcome.Reason { return l.reason }

// Message returns the reason for people.
func (l Lost) Message() string { return l.message }

// Unkept says that the request ran before and that its answer is no longer held.
type Unkept struct {
	status int
}

// NewUnkept returns the result of a resend whose first answer had the given HTTP status.
func NewUnkept(status int) Unkept { return Unkept{status: status} }

func (Unkept) result() {}

// Status returns the HTTP status of the first answer.
func (u Unkept) Status() int { return u.status }
