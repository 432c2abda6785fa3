package scheduler

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/run"
)

// director is the controller that drives the workers while this host leads.
type director struct {
	*Scheduler
	sessions map[string]*session
	saving   atomic.Bool // checkpoints are being committed
}

func newDirector(s *Scheduler) *director {
	return &director{Scheduler: s, sessions: map[string]*session{}}
}

// watchMembership logs each change of the ledger's membership and of its leader until ctx ends.
func (s *Scheduler) watchMembership(ctx context.Context) error {
	var members, leader string
	for {
		status, changed := s.node.Status().Watch()
		list := describe(status.Membership())
		if list != members || status.LeaderAddress() != leader {
			members, leader = list, status.LeaderAddress()
			s.logger.Info("membership", "self", string(status.Self()), "term", status.Term(), "leader", leader, "members", members)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// describe returns the members, the voters with a star.
func describe(m ledger.Membership) string {
	words := make([]string, 0, len(m.Members()))
	for _, e := range m.Members() {
		word := string(e.ID())
		if e.Voter() {
			word += "*"
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// run leads term after term until the context ends.
func (d *director) run(ctx context.Context) error {
	for ctx.Err() == nil {
		status, changed := d.node.Status().Watch()
		if status.Ready(clock.Now()) {
			d.lead(ctx, status.Term())
			continue
		}
		select {
		case <-changed:
		case e := <-d.events:
			d.turnAway(e)
		case <-ctx.Done():
		}
	}
	return nil
}

// turnAway ends a session that reached this host while it does not lead.
func (d *director) turnAway(e event) {
	switch e := e.(type) {
	case opened:
		e.session.cancel()
	case reported:
		e.session.cancel()
	case closed, advised, maintained:
	}
}

const (
	// readyPause is how long a leader that may not decide now waits until it looks again.
	readyPause = 3 * time.Millisecond
	// restShare is for how many times its duration a decision is followed by a rest, in which events gather; it bounds
	// the share of a core that decisions take as the fleet grows.
	restShare = 2
	// longestRest bounds the rest.
	longestRest = time.Second
)

// lead decides for one term.
func (d *director) lead(ctx context.Context, term uint64) {
	core := dispatch.NewCore(d.timing, term, time.Now())
	d.logger.Info("leading", "term", term)
	defer func() {
		for agent, s := range d.sessions {
			s.cancel()
			delete(d.sessions, agent)
		}
		d.logger.Info("leads no more", "term", term)
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var rested time.Time // when the rest after the latest decision ends
	for {
		status, changed := d.node.Status().Watch()
		if ctx.Err() != nil || status.Term() != term || !status.Leading() {
			return
		}
		_, applied := d.state.Watch()
		now := time.Now()
		switch {
		case !status.Ready(clock.Now()):
			timer.Reset(readyPause)
		case now.Before(rested):
			timer.Reset(rested.Sub(now))
		default:
			next, took := d.step(ctx, core, term)
			rested = time.Now().Add(min(restShare*took, longestRest))
			timer.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-changed:
		case <-applied:
		case e := <-d.events:
			d.take(ctx, core, term, e)
			d.drain(ctx, core, term)
		}
	}
}

// drain takes the events that have come meanwhile.
func (d *director) drain(ctx context.Context, core *dispatch.Core, term uint64) {
	for {
		select {
		case e := <-d.events:
			d.take(ctx, core, term, e)
		default:
			return
		}
	}
}

func (d *director) take(ctx context.Context, core *dispatch.Core, term uint64, e event) {
	switch e := e.(type) {
	case opened:
		if old := d.sessions[e.session.agent]; old != nil {
			old.cancel()
		}
		d.sessions[e.session.agent] = e.session
		core.Connect(e.session.agent, e.session.number)
		d.logger.Info("agent connected", "agent", e.session.agent)
	case reported:
		if d.sessions[e.session.agent] == e.session {
			core.Report(time.Now(), e.report)
		}
	case closed:
		if d.sessions[e.session.agent] == e.session {
			delete(d.sessions, e.session.agent)
			core.Disconnect(e.session.agent, e.session.number)
			d.logger.Info("agent lost", "agent", e.session.agent)
		}
	case advised:
		d.takeAdvice(core, term, e)
	case maintained:
		d.takeMaintenance(ctx, core, term, e)
	}
}

// step decides once and carries the decision out; it returns when the next one is due, and how long deciding took.
func (d *director) step(ctx context.Context, core *dispatch.Core, term uint64) (next time.Time, took time.Duration) {
	begun := time.Now()
	a := core.Step(begun, d.state.Load())
	took = time.Since(begun)
	d.meters.decision.Update(took.Microseconds())
	d.logDecisions(a.Decisions())
	for _, o := range a.Orders() {
		d.order(o, term)
	}
	if i, ok := a.Inquiry(); ok {
		d.inquire(ctx, term, i)
	}
	for _, m := range a.Maintenance() {
		d.maintain(ctx, term, m)
	}
	if len(a.Ends()) > 0 {
		d.meters.ends.Inc(int64(len(a.Ends())))
		d.commit(ctx, batch.NewEndRuns(begun, a.Ends()...))
		return time.Now(), took
	}
	d.save(ctx, a.Marks())
	if !a.Forget().IsZero() {
		d.commit(ctx, batch.NewPruneJobs(a.Forget()))
	}
	if len(a.Groups()) > 0 {
		d.begin(ctx, core, begun, a.Groups())
		return time.Now(), took
	}
	return a.Wake(), took
}

// save commits checkpoints in the background, unless the ones before are still being committed; decisions need not wait
// for them, and what was left out is chosen again.
func (d *director) save(ctx context.Context, marks []batch.RunCheckpoint) {
	if len(marks) == 0 || !d.saving.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.saving.Store(false)
		d.commit(ctx, batch.NewSaveCheckpoints(marks...))
	}()
}

// begin commits the start of runs; the next step orders those that were committed.
func (d *director) begin(ctx context.Context, core *dispatch.Core, now time.Time, groups []batch.Group) {
	r, ok := d.commit(ctx, batch.NewPlaceRuns(now, groups...)).(batch.RunsPlaced)
	if !ok {
		return
	}
	for i, placed := range r.Placed() {
		if placed {
			core.Begun(groups[i])
			d.meters.starts.Inc(int64(len(groups[i].Members())))
		}
	}
}

// commitTimeout bounds a commit of the leader's loop; a leader that cannot commit is replaced sooner.
const commitTimeout = 3 * time.Second

func (d *director) commit(ctx context.Context, c batch.Command) batch.Result {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	r, err := d.propose(ctx, c)
	if err != nil {
		d.logger.Warn("decision not committed", "error", err)
	}
	return r
}

// order queues an order; a session that takes none is closed, and the agent opens another.
func (d *director) order(o dispatch.Addressed, term uint64) {
	s := d.sessions[o.Agent()]
	if s == nil {
		return
	}
	select {
	case s.orders <- run.NewEnvelope(term, o.Order()):
	default:
		d.logger.Warn("agent takes no orders", "agent", o.Agent())
		s.cancel()
	}
}

func (d *director) logDecisions(list []dispatch.Decision) {
	for _, e := range list {
		switch e.What() {
		case "lost":
			d.meters.lost.Inc(1)
		case "stop":
			d.meters.stops.Inc(1)
		}
		d.logger.Info("run", "task", e.ID().Task().String(), "run", e.ID().Run(), "worker", e.Worker(),
			"decision", e.What(), "reason", e.Why(), "age_ms", e.Age().Milliseconds())
	}
}
