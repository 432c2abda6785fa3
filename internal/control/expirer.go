package control

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/registry"
)

const (
	expireInterval = time.Minute
	// recordRetention is how long idempotency keys, answers to operators and ended jobs are kept.
	recordRetention = 24 * time.Hour
	// answerRetention is how long the answer of an attempt is kept for resends: the longest deadline of a request.
	// It is shorter than recordRetention because an answer takes up to 4 KB and the rest of a record 48 bytes.
	answerRetention = 10 * time.Minute
)

// expirer is the controller that commits the removal of records and answers older than their retention.
type expirer struct {
	control *Control
}

func newExpirer(c *Control) *expirer { return &expirer{control: c} }

func (e *expirer) run(ctx context.Context) error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			if e.control.checkLeader() == nil {
				e.expire(ctx, now)
			}
		}
	}
}

func (e *expirer) expire(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := e.control.propose(ctx, registry.NewExpire(now.Add(-recordRetention), now.Add(-answerRetention))); err != nil {
		e.control.logger.Warn("old records not dropped", "error", err)
	}
}
