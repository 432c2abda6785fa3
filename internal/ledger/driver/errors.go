package driver

import (
	"errors"
	"fmt"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// ErrStopped reports that the node has stopped and the request had no effect.
var ErrStopped = errors.New("the ledger node has stopped")

// NotLeaderError reports that the request had no effect because this member is not the leader.
type NotLeaderError struct {
	leader  ledger.MemberID
	address string
}

// Error names the leader, if one is known.
func (e *NotLeaderError) Error() string {
	if e.leader == "" {
		return "this member is not the leader, and none is known"
	}
	return fmt.Sprintf("this member is not the leader, %s at %s is", e.leader, e.address)
}

// Leader returns the id of the leader; it is empty if none is known.
func (e *NotLeaderError) Leader() ledger.MemberID { return e.leader }

// Address returns the address of the leader; it is empty if none is known.
func (e *NotLeaderError) Address() string { return e.address }

// UnknownOutcomeError reports that the entry may be committed, now or later, or may be lost.
type UnknownOutcomeError struct{ cause error }

// Error includes the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of the change is unknown: %v", e.cause)
}

// Unwrap returns why the outcome is unknown: loss of leadership, a snapshot, ErrStopped or the error of the context.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

// RefusedError reports that the leader rejected the request without effect.
type RefusedError struct{ reason ledger.Refusal }

// Error includes the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the ledger refused the request: %s", e.reason)
}

// Reason returns the reason of the core; it is neither NotLeader nor Transferring, which become a NotLeaderError.
func (e *RefusedError) Reason() ledger.Refusal { return e.reason }

var (
	errLeadershipLost    = errors.New("leadership was lost before the commit")
	errCoveredBySnapshot = errors.New("a snapshot of another leader covers the entry")
)
