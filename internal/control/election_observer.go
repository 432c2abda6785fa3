package control

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// readyTimeout bounds the wait for a new leader's first commit, which takes one round trip and one disk sync.
const readyTimeout = time.Second

// electionObserver is the controller that publishes each new leader that this host learns of. It has a section of its
// own because the status of the ledger changes with each commit and would wake watchers of the leader too often.
type electionObserver struct {
	control *Control
}

func newElectionObserver(c *Control) *electionObserver { return &electionObserver{control: c} }

func (e *electionObserver) run(ctx context.Context) error {
	for {
		status, changed := e.control.node.Status().Watch()
		l := fleet.NewLeadership(status.Term(), status.LeaderAddress())
		if l.Leader() != "" && l != e.control.board.leadership.Load() {
			e.control.board.leadership.Publish(l)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// serveLeadership sends the latest leader and each new one to an entry process, on the leader and on followers alike.
func (c *Control) serveLeadership(ctx context.Context, s *link.Stream) {
	if wire.WriteStatus(s, nil) != nil {
		return
	}
	for {
		l, changed := c.board.leadership.Watch()
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

// awaitReady waits up to readyTimeout for a newly elected leader to commit its first entry, since watchers may connect
// before that.
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
