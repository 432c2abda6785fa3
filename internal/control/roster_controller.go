package control

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/declaration"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/registry"
)

const (
	// lostRetention is how long the planner still sees a worker, as unreachable, after its lease expired.
	lostRetention = 10 * time.Minute
	// publishDelay combines the announcements of a burst into one publication, since the cost of a snapshot grows
	// with the size of the fleet.
	publishDelay = 10 * time.Millisecond
	// duplicateWarnInterval is the time between two log messages about a second process under one name, which retries
	// several times a second.
	duplicateWarnInterval = 10 * time.Second
)

// announceRequest passes an announcement to the leader of a term to the controller's goroutine.
type announceRequest struct {
	announcement fleet.Announcement
	term         uint64
	accepted     chan bool
}

// liveEndpoint is the latest announcement of an endpoint and its lease.
type liveEndpoint struct {
	announcement fleet.Announcement
	lease        lease.Granted
}

// rosterController is the controller that maintains the roster from announcements; its goroutine is the only writer.
type rosterController struct {
	board        *Board
	logger       hclog.Logger
	defaultLease time.Duration
	requests     chan announceRequest
	live         map[string]liveEndpoint
	lostAt       map[string]time.Time
	warnedAt     map[string]time.Time
	changed      map[string]bool
	term         uint64
	termStart    time.Time
	revision     uint64
	sweepAt      time.Time
	flushAt      time.Time
	drained      board.Table[bool]
	evacuations  board.Table[registry.Evacuation]
}

func newRosterController(b *Board, defaultLease time.Duration, l hclog.Logger) *rosterController {
	return &rosterController{
		board: b, logger: l, defaultLease: defaultLease, requests: make(chan announceRequest),
		live: map[string]liveEndpoint{}, lostAt: map[string]time.Time{}, warnedAt: map[string]time.Time{},
		changed: map[string]bool{}, drained: b.state.Load().Drained(), evacuations: b.state.Load().Evacuations(),
	}
}

// run accepts announcements and removes expired ones until ctx ends.
func (c *rosterController) run(ctx context.Context) error {
	timer := time.NewTimer(c.defaultLease)
	defer timer.Stop()
	for {
		_, stateChanged := c.board.state.Watch()
		c.syncDrains(time.Now())
		timer.Reset(c.untilDue(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case r := <-c.requests:
			r.accepted <- c.accept(r.announcement, r.term, time.Now())
		case <-stateChanged:
		case <-timer.C:
			c.runDue(time.Now())
		}
	}
}

// announce passes an announcement to the controller's goroutine and reports whether it is accepted.
func (c *rosterController) announce(ctx context.Context, a fleet.Announcement, term uint64) bool {
	r := announceRequest{announcement: a, term: term, accepted: make(chan bool, 1)}
	select {
	case c.requests <- r:
		return <-r.accepted
	case <-ctx.Done():
		return false
	}
}

// accept records an announcement and reports true. It refuses an announcement to the leader of an earlier term, and one
// by a second process under the name of a live one at another address.
func (c *rosterController) accept(a fleet.Announcement, term uint64, now time.Time) bool {
	if term < c.term {
		return false
	}
	if term > c.term || c.termStart.IsZero() {
		c.beginTerm(term, now)
	}
	e := a.Endpoint()
	old, known := c.live[e.Name()]
	if known && !old.lease.Expired(now) {
		o := old.announcement.Endpoint()
		if o.Incarnation() != e.Incarnation() && o.Address() != e.Address() {
			c.warnDuplicate(e, o, now)
			return false
		}
	}
	le := liveEndpoint{announcement: a, lease: lease.NewGranted(now, c.leaseDuration(e.Name()))}
	c.live[e.Name()] = le
	if expiresAt := le.lease.ExpiresAt(); c.sweepAt.IsZero() || expiresAt.Before(c.sweepAt) {
		c.sweepAt = expiresAt
	}
	_, wasLost := c.lostAt[e.Name()]
	delete(c.lostAt, e.Name())
	if wasLost || !known || !old.announcement.Endpoint().EqualExceptLoad(e) || old.announcement.InFlight() != a.InFlight() ||
		!slices.Equal(old.announcement.Tasks(), a.Tasks()) {
		c.markChanged(e.Name(), now)
	}
	return true
}

// beginTerm discards the roster of an earlier term, since workers may have announced themselves to another leader
// meanwhile.
func (c *rosterController) beginTerm(term uint64, now time.Time) {
	c.term, c.termStart = term, now
	clear(c.live)
	clear(c.lostAt)
	clear(c.changed)
	c.revision++
	empty := newRoster()
	empty.snapshot, empty.term, empty.since = fleet.NewSnapshot(c.revision, nil), term, now
	c.board.roster.Publish(empty)
	c.board.reports.Publish(newBoard().reports.Load())
	c.board.inFlight.Publish(newBoard().inFlight.Load())
}

func (c *rosterController) warnDuplicate(refused, live fleet.Endpoint, now time.Time) {
	if now.Before(c.warnedAt[refused.Name()].Add(duplicateWarnInterval)) {
		return
	}
	c.warnedAt[refused.Name()] = now
	c.logger.Error("two processes announce one name", "worker", refused.Name(),
		"address", live.Address(), "refused", refused.Address())
}

// markChanged schedules the publication of an endpoint after publishDelay.
func (c *rosterController) markChanged(name string, now time.Time) {
	c.changed[name] = true
	if c.flushAt.IsZero() {
		c.flushAt = now.Add(publishDelay)
	}
}

// syncDrains schedules the publication of all endpoints if the set of drained endpoints or of evacuated zones changed.
func (c *rosterController) syncDrains(now time.Time) {
	state := c.board.state.Load()
	if state.Drained() == c.drained && state.Evacuations() == c.evacuations {
		return
	}
	c.drained, c.evacuations = state.Drained(), state.Evacuations()
	for name := range c.live {
		c.markChanged(name, now)
	}
}

// withDrain returns the endpoint, in state Leaving if an operator drained it or evacuated its zone.
func (c *rosterController) withDrain(e fleet.Endpoint) fleet.Endpoint {
	if keepsFromWork(c.board.state.Load(), e) {
		return e.WithState(fleet.Leaving)
	}
	return e
}

// runDue removes expired announcements and publishes changes if their time has come.
func (c *rosterController) runDue(now time.Time) {
	if !c.sweepAt.IsZero() && !now.Before(c.sweepAt) {
		c.sweep(now)
	}
	if !c.flushAt.IsZero() && !now.Before(c.flushAt) {
		c.flush()
	}
}

// sweep removes the endpoints whose lease expired, and the lost workers that are older than lostRetention. It walks the
// whole fleet and is due again when the next lease may expire; since a lease is three times the interval of
// announcements, sweeps are rare.
func (c *rosterController) sweep(now time.Time) {
	c.sweepAt = time.Time{}
	next := func(t time.Time) {
		if c.sweepAt.IsZero() || t.Before(c.sweepAt) {
			c.sweepAt = t
		}
	}
	for name, le := range c.live {
		if !le.lease.Expired(now) {
			next(le.lease.ExpiresAt())
			continue
		}
		delete(c.live, name)
		c.lostAt[name] = now
		c.changed[name], c.flushAt = true, now
		r := *c.board.roster.Load()
		r.lost = r.lost.With(name, le.announcement.Endpoint().Worker())
		c.board.roster.Publish(&r)
		c.logger.Warn("announcement lapsed", "worker", name)
	}
	for name, at := range c.lostAt {
		if now.Before(at.Add(lostRetention)) {
			next(at.Add(lostRetention))
			continue
		}
		delete(c.lostAt, name)
		r := *c.board.roster.Load()
		r.lost = r.lost.Without(name)
		c.board.roster.Publish(&r)
	}
}

// flush publishes the changed endpoints; it leaves a section alone whose value is the same.
func (c *rosterController) flush() {
	c.flushAt = time.Time{}
	r := *c.board.roster.Load()
	reports, inFlight := c.board.reports.Load(), c.board.inFlight.Load()
	oldReports, oldInFlight, oldLost := reports, inFlight, r.lost
	var changed []fleet.Endpoint
	var removed []string
	for name := range c.changed {
		le, ok := c.live[name]
		current, listed := r.snapshot.Find(name)
		if !ok {
			if listed {
				removed = append(removed, name)
			}
			reports, inFlight = reports.Without(name), inFlight.Without(name)
			continue
		}
		if e := c.withDrain(le.announcement.Endpoint()); !listed || !current.EqualExceptLoad(e) {
			changed = append(changed, e)
		}
		if _, lost := r.lost.Get(name); lost {
			r.lost = r.lost.Without(name)
		}
		if old, ok := reports.Get(name); !ok || !slices.Equal(old, le.announcement.Tasks()) {
			reports = reports.With(name, le.announcement.Tasks())
		}
		if old, ok := inFlight.Get(name); !ok || old != le.announcement.InFlight() {
			inFlight = inFlight.With(name, le.announcement.InFlight())
		}
	}
	clear(c.changed)
	if inFlight != oldInFlight {
		c.board.inFlight.Publish(inFlight)
	}
	if reports != oldReports {
		c.board.reports.Publish(reports)
	}
	if len(changed)+len(removed) > 0 {
		c.revision++
		r.snapshot = r.snapshot.With(c.revision, changed, removed)
	}
	if len(changed)+len(removed) > 0 || r.lost != oldLost {
		c.board.roster.Publish(&r)
	}
}

// untilDue returns the time until the next sweep or flush, lostRetention at most.
func (c *rosterController) untilDue(now time.Time) time.Duration {
	due := now.Add(lostRetention)
	for _, t := range []time.Time{c.sweepAt, c.flushAt} {
		if !t.IsZero() && t.Before(due) {
			due = t
		}
	}
	return max(0, due.Sub(now))
}

// leaseDuration returns the duration of the announcement lease of a worker, as the configuration declares it.
func (c *rosterController) leaseDuration(worker string) time.Duration {
	return declaration.AnnounceLeaseOf(c.board.state.Load().Config(), worker, c.defaultLease)
}
