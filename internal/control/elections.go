package control

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// readyTimeout bounds the wait for an elected leader's first commit, which takes one round trip and one sync of the disk.
const readyTimeout = time.Second

// elections is the controller that publishes each new leader that this host learns of. The status of the ledger changes
// with each commit, so those who wait for a leader would wake too often if they waited on it.
type elections struct {
	control *Control
}

func newElections(c *Control) *elections { return &elections{control: c} }

func (e *elections) run(ctx context.Context) error {
	for {
		status, changed := e.control.node.Status().Watch()
		l := fleet.NewLeadership(status.Term(), status.LeaderAddress())
		if l.Leader() != "" && l != e.control.board.elected.Load() {
			e.control.board.elected.Publish(l)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// leadership tells an entry process of the latest leader and of each new one, whether or not this host leads.
func (c *Control) leadership(ctx context.Context, s *link.Stream) {
	if wire.WriteStatus(s, nil) != nil {
		return
	}
	for {
		l, changed := c.board.elected.Watch()
		if l.Term() > 0 {
			_ = s.SetDeadline(time.Now().Add(writeTimeout))
			if wire.WriteLeadership(s, l) != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// awaitReady gives a leader that was just elected the time to commit its first entry, since watchers may come before.
func (c *Control) awaitReady(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		status, changed := c.node.Status().Watch()
		if status.Role() != ledger.Leader || status.Leading() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
