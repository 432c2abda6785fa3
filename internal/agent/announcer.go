package agent

import (
	"context"
	"fmt"
	"io"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/leader"
	"rosemarywind.example/rosemarywind/internal/wire"
)

const (
	receiptTimeout = 2 * time.Second
	redialDelay    = 200 * time.Millisecond
)

// announcer is the controller that reports the endpoint and its tasks to the leader.
type announcer struct {
	agent  *Agent
	search *leader.Search
}

func newAnnouncer(a *Agent) *announcer {
	return &announcer{agent: a, search: leader.NewSearch(a.control)}
}

// run announces to the leader until ctx ends, and searches the control hosts for the leader after each error.
func (n *announcer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		address := n.search.Next()
		n.handleError(ctx, address, n.announce(ctx, address))
	}
	return nil
}

// handleError returns at once if a follower named the leader in err, and waits for redialDelay after any other error.
func (n *announcer) handleError(ctx context.Context, address string, err error) {
	if ctx.Err() != nil {
		return
	}
	n.agent.logger.Warn("announcing ended", "control", address, "error", err)
	if !n.search.FollowRedirect(address, err) {
		clock.Pause(ctx, redialDelay)
	}
}

// announce opens a stream to address and sends announcements and renewals on it until an error occurs.
func (n *announcer) announce(ctx context.Context, address string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("announce to %s: %w", address, err)
		}
	}()
	openCtx, cancel := context.WithTimeout(ctx, receiptTimeout)
	defer cancel()
	s, err := n.agent.pool.Open(openCtx, address)
	if err != nil {
		return err
	}
	stop := s.CancelOnDone(ctx)
	defer stop()
	defer s.Cancel()
	if err = wire.WriteOpening(s, wire.NewOpening(wire.KindAnnounce, "")); err != nil {
		return err
	}
	_ = s.SetDeadline(time.Now().Add(receiptTimeout))
	if err = wire.ReadStatus(s); err != nil {
		return err
	}
	var last fleet.Announcement
	for {
		changed := n.watchChanges()
		_ = s.SetDeadline(time.Now().Add(receiptTimeout))
		a := n.announcement()
		if err = writeAnnouncement(s, a, last); err != nil {
			return err
		}
		last = a
		receipt, err := wire.ReadReceipt(s)
		if err != nil {
			return err
		}
		n.applyReceipt(receipt)
		n.agent.board.announcedAt.Publish(time.Now())
		if err = changed.wait(ctx); err != nil {
			return err
		}
	}
}

// writeAnnouncement sends an announcement, or a renewal if only the requests in flight differ from the last one sent.
func writeAnnouncement(w io.Writer, a, last fleet.Announcement) error {
	if a.EqualExceptLoad(last) {
		return wire.WriteRenewal(w, a.InFlight())
	}
	return wire.WriteAnnouncement(w, a)
}

func (n *announcer) announcement() fleet.Announcement {
	b := n.agent.board
	return fleet.NewAnnouncement(n.agent.self(), int(b.InFlight()), b.tasks.Load())
}

// applyReceipt publishes whether an operator drains the endpoint, as the leader says in its receipt.
func (n *announcer) applyReceipt(r fleet.Receipt) {
	if d := n.agent.board.drained; d.Load() != r.Drained() {
		d.Publish(r.Drained())
		n.agent.logger.Info("drain state changed by an operator", "drained", r.Drained())
	}
}

// changes holds the channels that close when a change must be announced at once.
type changes struct {
	probed, stopping, tasks <-chan struct{}
}

func (n *announcer) watchChanges() changes {
	b := n.agent.board
	_, probed := b.probedState.Watch()
	_, stopping := b.stopping.Watch()
	_, tasks := b.tasks.Watch()
	return changes{probed: probed, stopping: stopping, tasks: tasks}
}

// wait returns at the next change or when the announcement is due for renewal.
func (c changes) wait(ctx context.Context) error {
	t := time.NewTimer(announcePeriod)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	case <-c.probed:
	case <-c.stopping:
	case <-c.tasks:
	}
	return nil
}
