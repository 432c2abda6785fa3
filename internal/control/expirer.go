package control

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/registry"
)

const (
	expireEvery = time.Minute
	// recordsKept is how long a key, an operator's answer and an ended job are remembered.
	recordsKept = 24 * time.Hour
	// answersKept is how long the answer of an attempt is kept for resends. An answer takes up to 4 KB and the rest of
	// a record 48 bytes; it is as long as the longest deadline of a request.
	answersKept = 10 * time.Minute
)

// expirer is the controller that drops records that are too old to matter.
type expirer struct {
	control *Control
}

func newExpirer(c *Control) *expirer { return &expirer{control: c} }

func (x *expirer) run(ctx context.Context) error {
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			if x.control.leading() == nil {
				x.expire(ctx, now)
			}
		}
	}
}

func (x *expirer) expire(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := x.control.propose(ctx, registry.NewExpire(now.Add(-recordsKept), now.Add(-answersKept))); err != nil {
		x.control.logger.Warn("old records not dropped", "error", err)
	}
}
