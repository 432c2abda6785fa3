package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/leader"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

const (
	// watchTimeout is the time of three heartbeats, which the leader sends once a second.
	watchTimeout    = 3 * time.Second
	watchRetryPause = 200 * time.Millisecond
	// announcementLease is how long an agent's announcement to a leader is valid. A running agent announces to a new
	// leader within this time.
	announcementLease = 3 * time.Second
)

// watcher is the controller that publishes the endpoints and the configuration it receives from the leader.
type watcher struct {
	board  *Board
	pool   *link.Pool
	search *leader.Search
	logger hclog.Logger
	// retrySharePercent applies to workspaces that declare no retry share.
	retrySharePercent int
	// term is the term of the latest election that awaitElection has seen.
	term uint64
	// unconfirmed holds the names of endpoints that a new leader has not listed yet. They are kept until
	// unconfirmedUntil.
	unconfirmed      map[string]bool
	unconfirmedUntil time.Time
}

func newWatcher(b *Board, p *link.Pool, control []string, retrySharePercent int, l hclog.Logger) *watcher {
	return &watcher{board: b, pool: p, search: leader.NewSearch(control), retrySharePercent: retrySharePercent, logger: l}
}

// run watches the leader until ctx ends. Whenever a watch ends, it searches the control hosts for the leader.
func (w *watcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		address := w.search.Next()
		err := w.follow(ctx, address)
		w.board.control.Publish(Control{heardAt: w.board.control.Load().heardAt})
		w.handleWatchError(ctx, address, err)
	}
	return nil
}

// follow watches a control host until the watch ends or a later election makes another host the leader.
func (w *watcher) follow(ctx context.Context, address string) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	next := make(chan string, 1)
	go func() {
		defer close(next)
		if leader := w.awaitElection(ctx, address); leader != "" {
			next <- leader
			cancel()
		}
	}()
	err = w.watch(ctx, address)
	cancel()
	if leader := <-next; leader != "" {
		err = wire.NewStatusError(wire.NotLeader, leader, "another control host was elected")
	}
	return err
}

// awaitElection waits for an election of a later term and returns the address of the leader if it is another one than
// address. It returns an empty string once ctx ends.
func (w *watcher) awaitElection(ctx context.Context, address string) (leader string) {
	for {
		l, changed := w.board.leadership.Watch()
		if l.Term() > w.term {
			if w.term = l.Term(); l.Leader() != address {
				return l.Leader()
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ""
		}
	}
}

// handleWatchError logs why a watch ended. If err names the leader, the next watch starts at once, else after
// watchRetryPause.
func (w *watcher) handleWatchError(ctx context.Context, address string, err error) {
	if ctx.Err() != nil {
		return
	}
	w.logger.Warn("watch ended", "control", address, "error", err)
	if !w.search.FollowRedirect(address, err) {
		clock.Pause(ctx, watchRetryPause)
	}
}

// watch applies the updates from the control host at address until the stream fails or ctx ends.
func (w *watcher) watch(ctx context.Context, address string) (err error) {
	s, end, err := subscribe(ctx, w.pool, address, wire.KindWatch)
	if err != nil {
		return err
	}
	defer end()
	for {
		_ = s.SetReadDeadline(time.Now().Add(watchTimeout))
		u, err := wire.ReadUpdate(s)
		if err != nil {
			return fmt.Errorf("watch %s: %w", address, err)
		}
		if err = w.apply(u, address, time.Now()); err != nil {
			return err
		}
	}
}

// apply publishes an update. A configuration is never replaced by one of an older revision.
func (w *watcher) apply(u fleet.Update, address string, now time.Time) (err error) {
	w.applyFleet(u, now)
	if d, ok := u.Config(); ok {
		if err = w.applyConfig(d); err != nil {
			return err
		}
	}
	w.board.control.Publish(Control{leader: address, heardAt: now})
	return nil
}

// applyConfig publishes a configuration that is newer than the current one. A change that is based on another revision
// is an error.
func (w *watcher) applyConfig(d workspace.Delta) (err error) {
	p := w.board.policy.Load()
	if d.Revision() <= p.config.Revision() {
		return nil
	}
	base := p.config
	if d.Base() == 0 {
		base = workspace.EmptyConfig()
	}
	next, err := base.Apply(d)
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	w.board.policy.Publish(p.withConfig(next, w.retrySharePercent))
	w.logger.Info("configuration applied", "revision", next.Revision())
	return nil
}

// applyFleet publishes the endpoints. A leader that has just been elected lists only the agents that have announced to
// it, so an endpoint that is missing from a full list is kept for announcementLease. Requests sent to it in the
// meantime are safe, since its agent refuses those that it must not run.
func (w *watcher) applyFleet(u fleet.Update, now time.Time) {
	old := w.board.fleet.Load()
	if u.Full() {
		w.unconfirmed, w.unconfirmedUntil = map[string]bool{}, now.Add(announcementLease)
		for _, e := range old.All() {
			w.unconfirmed[e.Name()] = true
		}
	}
	for _, e := range u.Changed() {
		delete(w.unconfirmed, e.Name())
	}
	removed := u.Removed()
	if len(w.unconfirmed) > 0 && !now.Before(w.unconfirmedUntil) {
		removed = slices.AppendSeq(slices.Clone(removed), maps.Keys(w.unconfirmed))
		w.unconfirmed = nil
	}
	if u.Full() || len(u.Changed())+len(removed) > 0 {
		w.board.fleet.Publish(old.With(u.Revision(), u.Changed(), removed))
	}
}
