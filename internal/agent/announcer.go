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
	redialPause    = 200 * time.Millisecond
)

// announcer is the controller that tells the leader of the endpoint and its tasks.
type announcer struct {
	agent  *Agent
	search *leader.Search
}

func newAnnouncer(a *Agent) *announcer {
	return &announcer{agent: a, search: leader.NewSearch(a.control)}
}

// run announces to the leader, and looks for it among the control hosts after each loss.
func (n *announcer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		address := n.search.Next()
		n.recover(ctx, address, n.announce(ctx, address))
	}
	return nil
}

// recover follows a follower's word about the leader at once, and pauses after any other error.
func (n *announcer) recover(ctx context.Context, address string, err error) {
	if ctx.Err() != nil {
		return
	}
	n.agent.logger.Warn("announcing ended", "control", address, "error", err)
	if !n.search.FollowRedirect(address, err) {
		clock.Pause(ctx, redialPause)
	}
}

func (n *announcer) announce(ctx context.Context, address string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("announce to %s: %w", address, err)
		}
	}()
	opening, cancel := context.WithTimeout(ctx, receiptTimeout)
	defer cancel()
	s, err := n.agent.pool.Open(opening, address)
	if err != nil {
		return err
	}
	stop := s.Watch(ctx)
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
		changed := n.changes()
		_ = s.SetDeadline(time.Now().Add(receiptTimeout))
		a := n.announcement()
		if err = write(s, a, last); err != nil {
			return err
		}
		last = a
		receipt, err := wire.ReadReceipt(s)
		if err != nil {
			return err
		}
		n.take(receipt)
		n.agent.board.receipt.Publish(time.Now())
		if err = changed.wait(ctx); err != nil {
			return err
		}
	}
}

// write sends an announcement, or a renewal if the stream's last one still holds.
func write(w io.Writer, a, last fleet.Announcement) error {
	if a.EqualExceptLoad(last) {
		return wire.WriteRenewal(w, a.InFlight())
	}
	return wire.WriteAnnouncement(w, a)
}

func (n *announcer) announcement() fleet.Announcement {
	b := n.agent.board
	return fleet.NewAnnouncement(n.agent.self(), int(b.InFlight()), b.tasks.Load())
}

func (n *announcer) take(r fleet.Receipt) {
	if d := n.agent.board.drained; d.Load() != r.Drained() {
		d.Publish(r.Drained())
		n.agent.logger.Info("drained by an operator", "drained", r.Drained())
	}
}

// notices are the changes that are announced at once.
type notices struct {
	probed, stopping, tasks <-chan struct{}
}

func (n *announcer) changes() notices {
	b := n.agent.board
	_, probed := b.probed.Watch()
	_, stopping := b.stopping.Watch()
	_, tasks := b.tasks.Watch()
	return notices{probed: probed, stopping: stopping, tasks: tasks}
}

// wait returns at the next change or when the announcement is due for renewal.
func (n notices) wait(ctx context.Context) error {
	t := time.NewTimer(announcePeriod)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	case <-n.probed:
	case <-n.stopping:
	case <-n.tasks:
	}
	return nil
}
