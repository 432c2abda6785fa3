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
)

const (
	// lostKept is how long a worker that fell silent is still planned around.
	lostKept = 10 * time.Minute
	// gatherTime joins the announcements of a burst into one publication, since a new snapshot costs
	// as much as the fleet is large.
	gatherTime = 10 * time.Millisecond
	// warnEvery bounds the log lines about a second process of one name, which tries again several times a second.
	warnEvery = 10 * time.Second
)

// notice is an announcement to the leader of a term on its way to the keeper.
type notice struct {
	announcement fleet.Announcement
	term         uint64
	verdict      chan bool
}

// presence is what the keeper knows of one endpoint.
type presence struct {
	announcement fleet.Announcement
	lease        lease.Granted
}

// keeper is the controller of the roster; its goroutine is the only writer.
type keeper struct {
	board    *Board
	logger   hclog.Logger
	length   time.Duration
	notices  chan notice
	present  map[string]presence
	lostAt   map[string]time.Time
	warnedAt map[string]time.Time
	changed  map[string]bool
	term     uint64
	since    time.Time
	revision uint64
	sweepAt  time.Time
	flushAt  time.Time
	drained  board.Table[bool]
}

func newKeeper(b *Board, length time.Duration, l hclog.Logger) *keeper {
	return &keeper{
		board: b, logger: l, length: length, notices: make(chan notice),
		present: map[string]presence{}, lostAt: map[string]time.Time{}, warnedAt: map[string]time.Time{},
		changed: map[string]bool{}, drained: b.state.Load().Drained(),
	}
}

// run takes announcements and lets them lapse until ctx ends.
func (k *keeper) run(ctx context.Context) error {
	timer := time.NewTimer(k.length)
	defer timer.Stop()
	for {
		_, stateChanged := k.board.state.Watch()
		k.takeDrains(time.Now())
		timer.Reset(k.untilDue(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case n := <-k.notices:
			n.verdict <- k.take(n.announcement, n.term, time.Now())
		case <-stateChanged:
		case <-timer.C:
			k.act(time.Now())
		}
	}
}

// announce hands an announcement to the keeper and reports whether it counts.
func (k *keeper) announce(ctx context.Context, a fleet.Announcement, term uint64) bool {
	n := notice{announcement: a, term: term, verdict: make(chan bool, 1)}
	select {
	case k.notices <- n:
		return <-n.verdict
	case <-ctx.Done():
		return false
	}
}

// take refuses a second process under the name of one that is alive at another address.
func (k *keeper) take(a fleet.Announcement, term uint64, now time.Time) bool {
	if term < k.term {
		return false
	}
	if term > k.term || k.since.IsZero() {
		k.begin(term, now)
	}
	e := a.Endpoint()
	old, known := k.present[e.Name()]
	if known && !old.lease.Expired(now) {
		o := old.announcement.Endpoint()
		if o.Incarnation() != e.Incarnation() && o.Address() != e.Address() {
			k.warn(e, o, now)
			return false
		}
	}
	p := presence{announcement: a, lease: lease.NewGranted(now, k.lengthOf(e.Name()))}
	k.present[e.Name()] = p
	if over := p.lease.ExpiresAt(); k.sweepAt.IsZero() || over.Before(k.sweepAt) {
		k.sweepAt = over
	}
	_, wasLost := k.lostAt[e.Name()]
	delete(k.lostAt, e.Name())
	if wasLost || !known || !old.announcement.Endpoint().SameAs(e) || old.announcement.InFlight() != a.InFlight() ||
		!slices.Equal(old.announcement.Tasks(), a.Tasks()) {
		k.touch(e.Name(), now)
	}
	return true
}

// begin forgets what was known under an earlier term, in which other workers announced themselves elsewhere.
func (k *keeper) begin(term uint64, now time.Time) {
	k.term, k.since = term, now
	clear(k.present)
	clear(k.lostAt)
	clear(k.changed)
	k.revision++
	empty := newRoster()
	empty.snapshot, empty.term, empty.since = fleet.NewSnapshot(k.revision, nil), term, now
	k.board.roster.Publish(empty)
	k.board.reports.Publish(newBoard().reports.Load())
	k.board.inFlight.Publish(newBoard().inFlight.Load())
}

func (k *keeper) warn(refused, present fleet.Endpoint, now time.Time) {
	if now.Before(k.warnedAt[refused.Name()].Add(warnEvery)) {
		return
	}
	k.warnedAt[refused.Name()] = now
	k.logger.Error("two processes announce one name", "worker", refused.Name(),
		"address", present.Address(), "refused", refused.Address())
}

// touch has the endpoint published soon.
func (k *keeper) touch(name string, now time.Time) {
	k.changed[name] = true
	if k.flushAt.IsZero() {
		k.flushAt = now.Add(gatherTime)
	}
}

// takeDrains brings the roster in line with the operators' drains.
func (k *keeper) takeDrains(now time.Time) {
	drained := k.board.state.Load().Drained()
	if drained == k.drained {
		return
	}
	k.drained = drained
	for name := range k.present {
		k.touch(name, now)
	}
}

// effective returns the endpoint with an operator's drain taken into account.
func (k *keeper) effective(e fleet.Endpoint) fleet.Endpoint {
	if drained, _ := k.drained.Get(e.Name()); drained {
		return e.WithState(fleet.Leaving)
	}
	return e
}

// act does what is due: it lets announcements lapse and publishes changes.
func (k *keeper) act(now time.Time) {
	if !k.sweepAt.IsZero() && !now.Before(k.sweepAt) {
		k.sweep(now)
	}
	if !k.flushAt.IsZero() && !now.Before(k.flushAt) {
		k.flush()
	}
}

// sweep removes the endpoints whose announcements no longer count, and forgets workers that are long gone.
// It walks the whole fleet, and is due again when the oldest announcement may lapse: the lease is three
// times the period of announcements, so this is seldom.
func (k *keeper) sweep(now time.Time) {
	k.sweepAt = time.Time{}
	next := func(t time.Time) {
		if k.sweepAt.IsZero() || t.Before(k.sweepAt) {
			k.sweepAt = t
		}
	}
	for name, p := range k.present {
		if !p.lease.Expired(now) {
			next(p.lease.ExpiresAt())
			continue
		}
		delete(k.present, name)
		k.lostAt[name] = now
		k.changed[name], k.flushAt = true, now
		r := *k.board.roster.Load()
		r.lost = r.lost.With(name, p.announcement.Endpoint().Worker())
		k.board.roster.Publish(&r)
		k.logger.Warn("announcement lapsed", "worker", name)
	}
	for name, at := range k.lostAt {
		if now.Before(at.Add(lostKept)) {
			next(at.Add(lostKept))
			continue
		}
		delete(k.lostAt, name)
		r := *k.board.roster.Load()
		r.lost = r.lost.Without(name)
		k.board.roster.Publish(&r)
	}
}

// flush publishes the endpoints that changed, each section only if it differs.
func (k *keeper) flush() {
	k.flushAt = time.Time{}
	r := *k.board.roster.Load()
	reports, inFlight := k.board.reports.Load(), k.board.inFlight.Load()
	oldReports, oldInFlight, oldLost := reports, inFlight, r.lost
	var changed []fleet.Endpoint
	var removed []string
	for name := range k.changed {
		p, ok := k.present[name]
		current, listed := r.snapshot.Find(name)
		if !ok {
			if listed {
				removed = append(removed, name)
			}
			reports, inFlight = reports.Without(name), inFlight.Without(name)
			continue
		}
		if e := k.effective(p.announcement.Endpoint()); !listed || !current.SameAs(e) {
			changed = append(changed, e)
		}
		if _, lost := r.lost.Get(name); lost {
			r.lost = r.lost.Without(name)
		}
		if old, ok := reports.Get(name); !ok || !slices.Equal(old, p.announcement.Tasks()) {
			reports = reports.With(name, p.announcement.Tasks())
		}
		if old, ok := inFlight.Get(name); !ok || old != p.announcement.InFlight() {
			inFlight = inFlight.With(name, p.announcement.InFlight())
		}
	}
	clear(k.changed)
	if inFlight != oldInFlight {
		k.board.inFlight.Publish(inFlight)
	}
	if reports != oldReports {
		k.board.reports.Publish(reports)
	}
	if len(changed)+len(removed) > 0 {
		k.revision++
		r.snapshot = r.snapshot.With(k.revision, changed, removed)
	}
	if len(changed)+len(removed) > 0 || r.lost != oldLost {
		k.board.roster.Publish(&r)
	}
}

// untilDue returns how long until the keeper has something to do.
func (k *keeper) untilDue(now time.Time) time.Duration {
	due := now.Add(lostKept)
	for _, t := range []time.Time{k.sweepAt, k.flushAt} {
		if !t.IsZero() && t.Before(due) {
			due = t
		}
	}
	return max(0, due.Sub(now))
}

// lengthOf returns how long an announcement of a worker counts.
func (k *keeper) lengthOf(worker string) time.Duration {
	return declaration.AnnounceLeaseOf(k.board.state.Load().Config(), worker, k.length)
}
