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
	releaseBuffer = 1024
	// releaseWithin is longer than a change of leader and the watch that finds the new one.
	releaseWithin = 30 * time.Second
)

// releaser is the controller that frees the keys of claims whose outcome is unknown. Nothing was dispatched under such
// a claim, so it may be settled as not run; otherwise each resend would hear for a day that the request may have run.
type releaser struct {
	entry   *Entry
	pending chan request.Request
}

func newReleaser(e *Entry) *releaser {
	return &releaser{entry: e, pending: make(chan request.Request, releaseBuffer)}
}

// add takes up a request; if too many wait, its key stays claimed, which is the safe direction.
func (l *releaser) add(r request.Request) {
	select {
	case l.pending <- r:
	default:
		l.entry.logger.Warn("claim not released", "request", r.ID())
	}
}

// run releases one claim after the other until ctx ends.
func (l *releaser) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-l.pending:
			l.release(ctx, r)
		}
	}
}

// release claims the key once more under the same attempt, to learn the number, and settles it as not run.
func (l *releaser) release(ctx context.Context, r request.Request) {
	ctx, cancel := context.WithTimeout(ctx, releaseWithin)
	defer cancel()
	for ctx.Err() == nil {
		if l.try(ctx, r) {
			return
		}
		clock.Pause(ctx, settlePause)
	}
	l.entry.logger.Warn("claim not released", "request", r.ID())
}

// try reports whether nothing is left to do.
func (l *releaser) try(ctx context.Context, r request.Request) (done bool) {
	bounded, cancel := context.WithTimeout(ctx, settleTry)
	defer cancel()
	got, err := l.entry.propose(bounded, claimOf(r, time.Now()))
	if err != nil {
		return false
	}
	claimed, ours := got.(registry.Claimed)
	if !ours {
		return true
	}
	notRun := registry.NewAttemptResult(outcome.NotRun, 0)
	return l.entry.settleOnce(ctx, registry.NewSettleKey(r.Workspace(), r.Key(), claimed.AttemptNumber(), notRun, time.Now())) == nil
}

// claimOf returns the claim of a request; the same request has the same attempt each time.
func claimOf(r request.Request, now time.Time) registry.ClaimKey {
	return registry.NewClaimKey(r.Workspace(), r.Key(), fingerprint(r), r.Deadline(), now).WithAttemptID(r.ID())
}
