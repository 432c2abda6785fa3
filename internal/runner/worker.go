package runner

import (
	"context"
	"errors"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// ErrNoConnection is wrapped by the error of a call that had no effect because no connection to the worker could be
// opened.
var ErrNoConnection = errors.New("no connection to the worker")

// Worker is the interface to the worker beside the agent. After an error other than a RefusedError or ErrNoConnection
// it is unknown whether the call took effect.
type Worker interface {
	// Start starts a run; it is no error if the run exists already.
	Start(ctx context.Context, fencingToken uint64, o run.Start) error
	// Stop ends a run; a start of the same run that arrives later has no effect.
	Stop(ctx context.Context, incarnation batch.Incarnation, fencingToken uint64, id run.ID) error
	// Pace limits a run to a share of its full speed, in percent.
	Pace(ctx context.Context, incarnation batch.Incarnation, fencingToken uint64, id run.ID, percent int) error
	// List extends the lease until the given reading of the worker's clock unless that is 0, acknowledges all ends up
	// to the given number, waits at the worker for a run to end for at most wait, and returns the worker's runs.
	List(
		ctx context.Context, incarnation batch.Incarnation, fencingToken uint64, lease time.Duration, acknowledged int64,
		wait time.Duration,
	) (run.List, error)
}

// RefusedError reports that the worker refused a call, which had no effect.
type RefusedError struct{ reason string }

// NewRefusedError returns a refusal with the worker's reason, which is passed to the leader as it is.
func NewRefusedError(reason string) *RefusedError { return &RefusedError{reason: reason} }

// Error returns the reason after the prefix "refused: ".
func (e *RefusedError) Error() string { return "refused: " + e.reason }

// Reason returns the worker's reason without a prefix.
func (e *RefusedError) Reason() string { return e.reason }

// The reasons with which one incarnation of a worker refuses a run finally.
const (
	tooOld             = "old"
	tooLate            = "late"
	lowerFencingToken  = "fence"
	anotherIncarnation = "another life"
)

// draining is the reason with which the agent refuses a start on a worker that is leaving.
const draining = "draining"

// Final reports whether the refusal also excludes that an earlier, unanswered call for the same run takes effect later.
// After any other refusal, such as that of a busy worker, an earlier call may still take effect.
func (e *RefusedError) Final() bool {
	switch e.reason {
	case tooOld, tooLate, lowerFencingToken, anotherIncarnation:
		return true
	}
	return false
}
