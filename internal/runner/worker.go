package runner

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// Worker is the worker beside the agent. An error other than a RefusedError leaves open whether a call was carried out.
type Worker interface {
	// Start begins a run; one that is there already is no error.
	Start(ctx context.Context, fence uint64, o run.Start) error
	// Stop ends a run, or keeps a late start of it from running.
	Stop(ctx context.Context, life batch.Incarnation, fence uint64, id run.ID) error
	// Pace has a run work at a share of its speed, in percent.
	Pace(ctx context.Context, life batch.Incarnation, fence uint64, id run.ID, percent int) error
	// List extends the lease to a time of the worker's clock unless that is 0, acknowledges ends up to a number, waits
	// for an end for up to wait, and returns what the worker lists.
	List(ctx context.Context, life batch.Incarnation, fence uint64, lease time.Duration, acknowledged int64, wait time.Duration) (run.List, error)
}

// RefusedError says that a worker has refused a call and done nothing.
type RefusedError struct{ reason string }

// NewRefusedError returns the refusal for the worker's reason.
func NewRefusedError(reason string) *RefusedError { return &RefusedError{reason: reason} }

// Error returns the reason.
func (e *RefusedError) Error() string { return "refused: " + e.reason }

// Reason returns the worker's reason.
func (e *RefusedError) Reason() string { return e.reason }

// The reasons with which a worker refuses a run for good in its life.
const (
	tooOld      = "old"
	tooLate     = "late"
	lowerFence  = "fence"
	anotherLife = "another life"
)

// Final reports whether no call for the same run that is still under way can be carried out after this refusal. A worker
// that is only busy may carry out an earlier call that it has not answered.
func (e *RefusedError) Final() bool {
	switch e.reason {
	case tooOld, tooLate, lowerFence, anotherLife:
		return true
	}
	return false
}
