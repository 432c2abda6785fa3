package request

import (
	"time"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Result is the result of an attempt to serve a request: Answered, Refused, Lost or AnswerExpired.
//
//sumtype:decl
type Result interface {
	result()
}

// Answered is the complete answer of an endpoint.
type Answered struct {
	status  int
	headers Headers
	body    []byte
}

// Refused is the result of a request that certainly did not run.
type Refused struct {
	reason     outcome.Reason
	message    string
	retryAfter time.Duration
}

// Lost is the result of a request that may have run but of which no complete answer arrived.
type Lost struct {
	reason  outcome.Reason
	message string
}

// NewAnswered returns an answer with an HTTP status, headers and the complete body, which the caller must
// not modify afterwards.
func NewAnswered(status int, headers Headers, body []byte) Answered {
	return Answered{status: status, headers: headers, body: body}
}

// NewRefused returns a refusal. The message is sent to the caller; retryAfter is 0 if waiting does not help.
func NewRefused(reason outcome.Reason, message string, retryAfter time.Duration) Refused {
	return Refused{reason: reason, message: message, retryAfter: retryAfter}
}

// NewLost returns the result of a lost answer. The message is sent to the caller.
func NewLost(reason outcome.Reason, message string) Lost {
	return Lost{reason: reason, message: message}
}

func (Answered) result() {}
func (Refused) result()  {}
func (Lost) result()     {}

// Status returns the HTTP status that the endpoint sent.
func (a Answered) Status() int { return a.status }

// Headers returns the headers that the endpoint sent, which the caller must not modify.
func (a Answered) Headers() Headers { return a.headers }

// Body returns the complete body, which the caller must not modify.
func (a Answered) Body() []byte { return a.body }

// Reason returns why the request was refused, as a code for programs.
func (r Refused) Reason() outcome.Reason { return r.reason }

// Message returns the explanation of Reason for people.
func (r Refused) Message() string { return r.message }

// RetryAfter returns how long to wait before a resend, 0 if waiting does not help.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// Reason returns why the answer was lost, as a code for programs.
func (l Lost) Reason() outcome.Reason { return l.reason }

// Message returns the explanation of Reason for people.
func (l Lost) Message() string { return l.message }

// AnswerExpired is the result of a resend whose first attempt ran but whose answer was not kept.
type AnswerExpired struct {
	status int
}

// NewAnswerExpired returns the result of a resend of a request that was answered with the given HTTP status.
func NewAnswerExpired(status int) AnswerExpired { return AnswerExpired{status: status} }

func (AnswerExpired) result() {}

// Status returns the HTTP status of the answer that was not kept.
func (a AnswerExpired) Status() int { return a.status }
