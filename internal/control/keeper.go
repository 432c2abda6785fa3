package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/lease"
)

// lostKept is how long a worker that fell silent is still planned around.
const lostKept = 10 * time.Minute

// notice is an announcement on its way to the keeper.
type notice struct {
	announcement fleet.Announcement
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
	revision uint64
}

func newKeeper(b *Board, length time.Duration, l hclog.Logger) *keeper {
	return &keeper{
		board: b, logger: l, length: length, notices: make(chan notice),
		present: map[string]presence{}, lostAt: map[string]time.Time{},
	}
}

// run takes announcements and lets them lapse until ctx ends.
func (k *keeper) run(ctx context.Context) error {
	timer := time.NewTimer(k.length)
	defer timer.Stop()
	for {
		_, stateChanged := k.board.state.Watch()
		timer.Reset(k.untilLapse(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case n := <-k.notices:
			n.verdict <- k.take(n.announcement, time.Now())
		case <-stateChanged:
			k.publishDrains()
		case <-timer.C:
			k.lapse(time.Now())
		}
	}
}

// announce hands an announcement to the keeper and reports whether it counts.
func (k *keeper) announce(ctx context.Context, a fleet.Announcement) bool {
	n := notice{announcement: a, verdict: make(chan bool, 1)}
	select {
	case k.notices <- n:
		return <-n.verdict
	case <-ctx.Done():
		return false
	}
}

// take refuses a second process under the name of one that is alive at another address.
func (k *keeper) take(a fleet.Announcement, now time.Time) bool {
	e := a.Endpoint()
	old, known := k.present[e.Name()]
	if known && !old.lease.Over(now) {
		o := old.announcement.Endpoint()
		if o.Incarnation() != e.Incarnation() && o.Address() != e.Address() {
			k.logger.Error("two processes announce one name", "worker", e.Name(),
				"address", o.Address(), "refused", e.Address())
			return false
		}
	}
	k.present[e.Name()] = presence{announcement: a, lease: lease.NewGranted(now, k.length)}
	delete(k.lostAt, e.Name())
	k.publish(a, old, known, now)
	return true
}

// publish changes the roster as far as the announcement differs from the one before.
func (k *keeper) publish(a fleet.Announcement, old presence, known bool, now time.Time) {
	e := k.effective(a.Endpoint())
	r := *k.board.roster.Load()
	if r.since.IsZero() {
		r.since = now
	}
	changed := false
	if current, ok := r.snapshot.Find(e.Name()); !ok || !current.SameAs(e) {
		k.revision++
		r.snapshot = r.snapshot.With(k.revision, []fleet.Endpoint{e}, nil)
		r.lost = r.lost.Without(e.Name())
		changed = true
	}
	if !known || !slices.Equal(old.announcement.Tasks(), a.Tasks()) {
		r.tasks = r.tasks.With(e.Name(), a.Tasks())
		changed = true
	}
	if n, ok := r.inFlight.Get(e.Name()); !ok || n != a.InFlight() {
		r.inFlight = r.inFlight.With(e.Name(), a.InFlight())
	}
	if changed || r.inFlight != k.board.roster.Load().inFlight {
		k.board.roster.Publish(&r)
	}
}

// effective returns the endpoint with an operator's drain taken into account.
func (k *keeper) effective(e fleet.Endpoint) fleet.Endpoint {
	if drained, _ := k.board.state.Load().Drained().Get(e.Name()); drained {
		return e.WithState(fleet.Leaving)
	}
	return e
}

// publishDrains brings the roster in line with the operators' drains.
func (k *keeper) publishDrains() {
	r := *k.board.roster.Load()
	var changed []fleet.Endpoint
	for name, p := range k.present {
		e := k.effective(p.announcement.Endpoint())
		if current, ok := r.snapshot.Find(name); ok && !current.SameAs(e) {
			changed = append(changed, e)
		}
	}
	if len(changed) == 0 {
		return
	}
	k.revision++
	r.snapshot = r.snapshot.With(k.revision, changed, nil)
	k.board.roster.Publish(&r)
}

// lapse removes the endpoints whose announcements no longer count, and forgets workers that are long gone.
func (k *keeper) lapse(now time.Time) {
	r := *k.board.roster.Load()
	var gone []string
	for name, p := range k.present {
		if !p.lease.Over(now) {
			continue
		}
		gone = append(gone, name)
		delete(k.present, name)
		k.lostAt[name] = now
		r.lost = r.lost.With(name, p.announcement.Endpoint().Worker())
		r.tasks, r.inFlight = r.tasks.Without(name), r.inFlight.Without(name)
		k.logger.Warn("announcement lapsed", "worker", name)
	}
	forgotten := false
	for name, at := range k.lostAt {
		if !now.Before(at.Add(lostKept)) {
			delete(k.lostAt, name)
			r.lost = r.lost.Without(name)
			forgotten = true
		}
	}
	if len(gone) == 0 && !forgotten {
		return
	}
	k.revision++
	r.snapshot = r.snapshot.With(k.revision, nil, gone)
	k.board.roster.Publish(&r)
}

// untilLapse returns how long until the next announcement may lapse or a lost worker is forgotten.
func (k *keeper) untilLapse(now time.Time) time.Duration {
	next := now.Add(lostKept)
	for p := range maps.Values(k.present) {
		if over := p.lease.OverAt(); over.Before(next) {
			next = over
		}
	}
	for at := range maps.Values(k.lostAt) {
		if over := at.Add(lostKept); over.Before(next) {
			next = over
		}
	}
	return max(0, next.Sub(now))
}
