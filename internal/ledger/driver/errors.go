package driver

import (
	"errors"
	"fmt"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// ErrStopped says that the node has ended and the request was not begun.
var ErrStopped = errors.New("the ledger node has stopped")

// NotLeaderError says that the request was not begun because another member leads, or none does.
type NotLeaderError struct {
	leader  ledger.MemberID
	address string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.leader == "" {
		return "this member is not the leader, and none is known"
	}
	return fmt.Sprintf("this member is not the leader, %s at %s is", e.leader, e.address)
}

// Leader returns the leader's id; it is empty while none is known.
func (e *NotLeaderError) Leader() ledger.MemberID { return e.leader }

// Address returns the leader's address; it is empty while none is known.
func (e *NotLeaderError) Address() string { return e.address }

// UnknownOutcomeError says that the entry may or may not be committed, now or later.
type UnknownOutcomeError struct{ cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of the change is unknown: %v", e.cause)
}

// Unwrap returns why the node stopped waiting.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

// RefusedError says that the leader did not begin the request.
type RefusedError struct{ reason ledger.Refusal }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the ledger refused the request: %s", e.reason)
}

// Reason returns why.
func (e *RefusedError) Reason() ledger.Refusal { return e.reason }

var (
	errLeadershipLost = errors.New("leadership was lost before the commit")
	errReplaced       = errors.New("a snapshot of another leader covers the entry")
)
