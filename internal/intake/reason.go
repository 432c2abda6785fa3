package intake

import (
	"errors"
	"net/http"
)

// Reason tells why a client was refused or cut off.
type Reason string

// The reasons for refusals.
const (
	HeadTooLarge Reason = "head_too_large"
	BodyTooLarge Reason = "body_too_large"
	BodyTooSlow  Reason = "body_too_slow"
	BudgetSpent  Reason = "budget_spent"
	ShareSpent   Reason = "share_spent"
	NoConnection Reason = "no_connection"
	Displaced    Reason = "displaced"
	AnswerUnread Reason = "answer_unread"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{HeadTooLarge, BodyTooLarge, BodyTooSlow, BudgetSpent, ShareSpent, NoConnection, Displaced, AnswerUnread}
}

// message returns the text of a refusal for this reason.
func (r Reason) message() string {
	switch r {
	case HeadTooLarge:
		return "the head exceeds the limit"
	case BodyTooLarge:
		return "the body exceeds the limit"
	case BodyTooSlow:
		return "the body arrives too slowly"
	case BudgetSpent:
		return "the memory budget for heads and bodies of requests is used up"
	case ShareSpent:
		return "the part of the memory budget for this address is used up"
	case NoConnection:
		return "too many connections are open"
	case Displaced:
		return "the connection was closed in favor of a new one"
	case AnswerUnread:
		return "the client does not read its answer"
	}
	return string(r)
}

// Refusal is the error of a request that is refused before any of it has run.
type Refusal struct{ reason Reason }

// NewRefusal returns a refusal for a reason.
func NewRefusal(r Reason) *Refusal { return &Refusal{reason: r} }

// Reason returns why the request is refused.
func (r *Refusal) Reason() Reason { return r.reason }

// Error returns the reason in words.
func (r *Refusal) Error() string { return r.reason.message() }

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	switch r.reason {
	case HeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case BodyTooSlow:
		return http.StatusRequestTimeout
	case BudgetSpent, ShareSpent, NoConnection, Displaced, AnswerUnread:
	}
	return http.StatusServiceUnavailable
}

// Write answers a request with the refusal; a client whose request may succeed later is told when to retry.
func (r *Refusal) Write(w http.ResponseWriter) {
	if r.Status() == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(r.Status())
}

// RefusalOf returns the refusal in err's chain, or nil.
func RefusalOf(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
