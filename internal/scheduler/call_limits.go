package scheduler

import (
	"context"
	"io"
	"time"

	"golang.org/x/sync/semaphore"

	"rosemarywind.example/rosemarywind/internal/call"
	"rosemarywind.example/rosemarywind/internal/intake"
)

const (
	// smallCallBytes is the size up to which a call is charged to the budget of calls; larger ones wait for their turn.
	smallCallBytes = 64 << 10
	// largeCallBytes is the size that a large call is assumed to have, that of the largest declaration.
	largeCallBytes = 4 << 20
	// turnTimeout bounds how long a large call waits. It leaves the sender time for the reply, since a leader that does not
	// answer an attempt counts as lost.
	turnTimeout = 250 * time.Millisecond
	// refusedCallRetryAfter is the time after which the sender of a refused call may retry it.
	refusedCallRetryAfter = time.Second
)

// callLimits bounds what the calls that are under way take, since many hosts may forward large ones at once.
type callLimits struct {
	budget *intake.Budget
	turns  *semaphore.Weighted
}

func newCallLimits(bytes int) callLimits {
	return callLimits{budget: intake.NewBudget(int64(bytes)), turns: semaphore.NewWeighted(max(int64(bytes)/largeCallBytes, 1))}
}

// limitedCall reads one call within the limits; release returns what it holds.
type limitedCall struct {
	ctx     context.Context
	source  io.Reader
	limits  callLimits
	charge  *intake.Charge
	read    int
	hasTurn bool
}

func (l callLimits) begin(ctx context.Context, source io.Reader) *limitedCall {
	return &limitedCall{ctx: ctx, source: source, limits: l, charge: l.budget.NewCharge(nil)}
}

// Read reads from the call. It fails with a refusal if the limits have no room for what arrives.
func (c *limitedCall) Read(p []byte) (n int, err error) {
	if c.hasTurn {
		return c.source.Read(p)
	}
	if c.read == smallCallBytes {
		if err = c.awaitTurn(); err != nil {
			return 0, err
		}
		return c.source.Read(p)
	}
	n, err = c.source.Read(p[:min(len(p), smallCallBytes-c.read)])
	c.read += n
	if refusal := c.charge.Add(int64(n)); refusal != nil {
		return 0, refusal
	}
	return n, err
}

// awaitTurn waits until the call may take more than a small one.
func (c *limitedCall) awaitTurn() error {
	ctx, cancel := context.WithTimeout(c.ctx, turnTimeout)
	defer cancel()
	if err := c.limits.turns.Acquire(ctx, 1); err != nil {
		return intake.NewRefusal(intake.BudgetSpent)
	}
	c.hasTurn = true
	return nil
}

// release returns what the call holds.
func (c *limitedCall) release() {
	c.charge.Release()
	if c.hasTurn {
		c.limits.turns.Release(1)
		c.hasTurn = false
	}
}

// refusedCall returns the reply to a call that the limits have no room for; nothing of it has run.
func refusedCall(r *intake.Refusal) call.Reply {
	return call.NewReply(call.Unavailable, r.Error()).WithRetryAfter(refusedCallRetryAfter)
}
