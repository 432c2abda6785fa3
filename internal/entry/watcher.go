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
	// watchSilence is three missed heartbeats of one second.
	watchSilence = 3 * time.Second
	watchPause   = 200 * time.Millisecond
	// confirmTime is the announcement lease: an agent that is alive has announced to a new leader by then.
	confirmTime = 3 * time.Second
)

// watcher is the controller that keeps the board up to date with the leader.
type watcher struct {
	board  *Board
	pool   *link.Pool
	search *leader.Search
	logger hclog.Logger
	// retryShare counts for workspaces for which none is declared, in percent.
	retryShare int
	// term is that of the latest election which the watcher has followed.
	term uint64
	// unconfirmed are the endpoints that a new leader has not listed yet, which count until confirmBy.
	unconfirmed map[string]bool
	confirmBy   time.Time
}

func newWatcher(b *Board, p *link.Pool, control []string, retryShare int, l hclog.Logger) *watcher {
	return &watcher{board: b, pool: p, search: leader.NewSearch(control), retryShare: retryShare, logger: l}
}

// run watches the leader, and looks for it among the control hosts after each loss.
func (w *watcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		address := w.search.Next()
		err := w.follow(ctx, address)
		w.board.control.Publish(Control{heardAt: w.board.control.Load().heardAt})
		w.recover(ctx, address, err)
	}
	return nil
}

// follow watches a control host until that ends or a later election makes another one the leader.
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

// awaitElection returns the leader of a later term that is not at address, or nothing once ctx ends.
func (w *watcher) awaitElection(ctx context.Context, address string) (leader string) {
	for {
		l, changed := w.board.elected.Watch()
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

// recover follows a follower's word about the leader at once, and pauses after any other error.
func (w *watcher) recover(ctx context.Context, address string, err error) {
	if ctx.Err() != nil {
		return
	}
	w.logger.Warn("watch ended", "control", address, "error", err)
	if !w.search.FollowRedirect(address, err) {
		clock.Pause(ctx, watchPause)
	}
}

func (w *watcher) watch(ctx context.Context, address string) (err error) {
	s, end, err := subscribe(ctx, w.pool, address, wire.KindWatch)
	if err != nil {
		return err
	}
	defer end()
	for {
		_ = s.SetReadDeadline(time.Now().Add(watchSilence))
		u, err := wire.ReadUpdate(s)
		if err != nil {
			return fmt.Errorf("watch %s: %w", address, err)
		}
		if err = w.take(u, address, time.Now()); err != nil {
			return err
		}
	}
}

// take publishes an update; a configuration never goes back to an older revision.
func (w *watcher) take(u fleet.Update, address string, now time.Time) (err error) {
	w.takeFleet(u, now)
	if d, ok := u.Config(); ok {
		if err = w.takeConfig(d); err != nil {
			return err
		}
	}
	w.board.control.Publish(Control{leader: address, heardAt: now})
	return nil
}

// takeConfig publishes a configuration that is newer than the one in force; a change from another base is an error.
func (w *watcher) takeConfig(d workspace.Delta) (err error) {
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
		return fmt.Errorf("take configuration: %w", err)
	}
	w.board.policy.Publish(p.with(next, w.retryShare))
	w.logger.Info("configuration in force", "revision", next.Revision())
	return nil
}

// takeFleet publishes the endpoints. A leader that has just taken over lists only the agents that have announced to
// it, so an endpoint that a full list lacks counts for confirmTime; its agent refuses what must not reach it.
func (w *watcher) takeFleet(u fleet.Update, now time.Time) {
	old := w.board.fleet.Load()
	if u.Full() {
		w.unconfirmed, w.confirmBy = map[string]bool{}, now.Add(confirmTime)
		for _, e := range old.All() {
			w.unconfirmed[e.Name()] = true
		}
	}
	for _, e := range u.Changed() {
		delete(w.unconfirmed, e.Name())
	}
	removed := u.Removed()
	if len(w.unconfirmed) > 0 && !now.Before(w.confirmBy) {
		removed = slices.AppendSeq(slices.Clone(removed), maps.Keys(w.unconfirmed))
		w.unconfirmed = nil
	}
	if u.Full() || len(u.Changed())+len(removed) > 0 {
		w.board.fleet.Publish(old.With(u.Revision(), u.Changed(), removed))
	}
}
