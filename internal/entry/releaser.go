package entry

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const (
	// releaseBuffer is the number of claims that may wait to be released.
	releaseBuffer = 1024
	// releaseTimeout is longer than it takes to elect a new leader and to connect to it.
	releaseTimeout = 30 * time.Second
)

// releaser is the controller that frees the keys of claims that were sent to a leader but not answered, so that it is
// unknown whether the ledger recorded them. Nothing was dispatched under such a claim, so it can be settled as not run.
// Otherwise each resend would be told for a day that the request may have run.
type releaser struct {
	entry   *Entry
	pending chan request.Request
}

func newReleaser(e *Entry) *releaser {
	return &releaser{entry: e, pending: make(chan request.Request, releaseBuffer)}
}

// add schedules the release of a request's key. If releaseBuffer is full, the key stays claimed, which is safe: resends
// are told that the request may have run.
func (rl *releaser) add(r request.Request) {
	select {
	case rl.pending <- r:
	default:
		rl.entry.logger.Warn("claim not released", "request", r.ID())
	}
}

// run releases one claim after another until ctx ends.
func (rl *releaser) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-rl.pending:
			rl.release(ctx, r)
		}
	}
}

// release claims the key again with the same attempt ID to obtain the attempt's number, and settles it as not run. It
// retries for releaseTimeout.
func (rl *releaser) release(ctx context.Context, r request.Request) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if rl.releaseOnce(ctx, r) {
			return
		}
		clock.Pause(ctx, settlePause)
	}
	rl.entry.logger.Warn("claim not released", "request", r.ID())
}

// releaseOnce reports whether the key is released or another attempt holds it.
func (rl *releaser) releaseOnce(ctx context.Context, r request.Request) (done bool) {
	bounded, cancel := context.WithTimeout(ctx, settleAttemptTimeout)
	defer cancel()
	got, err := rl.entry.propose(bounded, claimCommand(r, time.Now()))
	if err != nil {
		return false
	}
	claimed, ok := got.(registry.Claimed)
	if !ok {
		return true
	}
	notRun := registry.NewAttemptResult(outcome.NotRun, 0)
	return rl.entry.settleOnce(ctx,
		registry.NewSettleKey(r.Workspace(), r.Key(), claimed.AttemptNumber(), notRun, time.Now())) == nil
}

// claimCommand returns the command that claims a request's key. Its attempt ID is the request's ID, so that a repeated
// command is recognized.
func claimCommand(r request.Request, now time.Time) registry.ClaimKey {
	return registry.NewClaimKey(r.Workspace(), r.Key(), fingerprint(r), r.Deadline(), now).WithAttemptID(r.ID())
}
