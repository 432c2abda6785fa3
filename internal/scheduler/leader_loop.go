package scheduler

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// leaderLoop is the controller that runs package dispatch while this host is the leader. One goroutine handles its
// events and steps.
type leaderLoop struct {
	*Scheduler
	sessions          map[string]*session
	savingCheckpoints atomic.Bool // a commit of checkpoints is in flight
}

func newLeaderLoop(s *Scheduler) *leaderLoop {
	return &leaderLoop{Scheduler: s, sessions: map[string]*session{}}
}

// run leads each term in which this host is the leader, until ctx ends.
func (l *leaderLoop) run(ctx context.Context) error {
	for ctx.Err() == nil {
		status, changed := l.node.Status().Watch()
		if status.Ready(clock.Now()) {
			l.lead(ctx, status.Term())
			continue
		}
		select {
		case <-changed:
		case e := <-l.events:
			l.rejectSession(e)
		case <-ctx.Done():
		}
	}
	return nil
}

// rejectSession closes a session that an agent opened or used while this host is not the leader.
func (l *leaderLoop) rejectSession(e event) {
	switch e := e.(type) {
	case sessionOpened:
		e.session.cancel()
	case reportReceived:
		e.session.cancel()
	case sessionClosed, adviceEnded, maintenanceEnded:
	}
}

const (
	// readyRetryPause is the pause before a leader that is not ready to decide checks again.
	readyRetryPause = 3 * time.Millisecond
	// idleFactor is the ratio of the idle time after a step to the duration of the step. Events gather in the idle time,
	// which bounds the share of a core that steps take as the number of workers grows.
	idleFactor = 2
	// maxIdle bounds the idle time after a step.
	maxIdle = time.Second
)

// lead runs the steps of one term, until the term ends or ctx does.
func (l *leaderLoop) lead(ctx context.Context, term uint64) {
	core := dispatch.NewCore(l.timing, term, time.Now())
	l.logger.Info("leading", "term", term)
	defer func() {
		for agent, s := range l.sessions {
			s.cancel()
			delete(l.sessions, agent)
		}
		l.metrics.updateWaiting(dispatch.Waiting{})
		l.metrics.evacuated.Update(0)
		l.logger.Info("leads no more", "term", term)
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var idleUntil time.Time // end of the idle time after the latest step
	for {
		status, changed := l.node.Status().Watch()
		if ctx.Err() != nil || status.Term() != term || !status.Leading() {
			return
		}
		_, applied := l.state.Watch()
		// The time of the step is read before the lease is checked: a leader that is paused in between grants no leases from
		// a time at which another one may lead.
		now := time.Now()
		switch {
		case !status.Ready(clock.Now()):
			timer.Reset(readyRetryPause)
		case now.Before(idleUntil):
			timer.Reset(idleUntil.Sub(now))
		default:
			next, took := l.step(ctx, core, term, now)
			idleUntil = time.Now().Add(min(idleFactor*took, maxIdle))
			timer.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-changed:
		case <-applied:
		case e := <-l.events:
			l.handle(ctx, core, term, e)
			l.handlePending(ctx, core, term)
		}
	}
}

// handlePending handles the events that are already in the queue.
func (l *leaderLoop) handlePending(ctx context.Context, core *dispatch.Core, term uint64) {
	for {
		select {
		case e := <-l.events:
			l.handle(ctx, core, term, e)
		default:
			return
		}
	}
}

func (l *leaderLoop) handle(ctx context.Context, core *dispatch.Core, term uint64, e event) {
	switch e := e.(type) {
	case sessionOpened:
		if old := l.sessions[e.session.agent]; old != nil {
			old.cancel()
		}
		l.sessions[e.session.agent] = e.session
		core.Connect(e.session.agent, e.session.number)
		l.logger.Info("agent connected", "agent", e.session.agent)
	case reportReceived:
		if l.sessions[e.session.agent] == e.session {
			core.Report(time.Now(), e.report)
		}
	case sessionClosed:
		if l.sessions[e.session.agent] == e.session {
			delete(l.sessions, e.session.agent)
			core.Disconnect(e.session.agent, e.session.number)
			l.logger.Info("agent lost", "agent", e.session.agent)
		}
	case adviceEnded:
		l.handleAdvice(core, term, e)
	case maintenanceEnded:
		l.handleMaintenance(ctx, core, term, e)
	}
}

// step runs one step at the given time and carries out its actions. It returns the time of the next step and the
// duration of the decision.
func (l *leaderLoop) step(
	ctx context.Context, core *dispatch.Core, term uint64, now time.Time,
) (next time.Time, took time.Duration) {
	for agent, s := range l.sessions {
		core.SetOrderRoom(agent, cap(s.orders)-len(s.orders))
	}
	startedAt := time.Now()
	a := core.Step(now, l.state.Load())
	took = time.Since(startedAt)
	l.metrics.decision.Update(took.Microseconds())
	l.logDecisions(a.Decisions())
	if w, counted := a.Waiting(); counted {
		l.metrics.updateWaiting(w)
	}
	l.metrics.evacuated.Update(int64(a.EvacuatedRuns()))
	l.metrics.updateSpeeds(a)
	for _, o := range a.Orders() {
		l.queueOrder(o, term)
	}
	if i, ok := a.Inquiry(); ok {
		l.requestAdvice(ctx, term, i)
	}
	for _, m := range a.Maintenance() {
		l.requestMaintenance(ctx, term, m)
	}
	l.commitCrashes(ctx, now, a.Crashes())
	if len(a.Ends()) > 0 {
		l.metrics.ends.Inc(int64(len(a.Ends())))
		l.commit(ctx, batch.NewEndRuns(now, a.Ends()...))
	}
	if len(a.Crashes()) > 0 || len(a.Ends()) > 0 {
		return time.Now(), took
	}
	l.commitCheckpoints(ctx, a.Checkpoints())
	if !a.ForgetBefore().IsZero() {
		l.commit(ctx, batch.NewPruneJobs(a.ForgetBefore()))
	}
	if len(a.Groups()) > 0 {
		l.commitStarts(ctx, core, now, a.Groups())
		return time.Now(), took
	}
	return a.Wake(), took
}

// commitCheckpoints commits checkpoints in the background, unless an earlier commit of checkpoints is in flight.
// Steps need not wait for it, and a later step returns again the checkpoints that were left out.
func (l *leaderLoop) commitCheckpoints(ctx context.Context, marks []batch.RunCheckpoint) {
	if len(marks) == 0 || !l.savingCheckpoints.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.savingCheckpoints.Store(false)
		l.commit(ctx, batch.NewSaveCheckpoints(marks...))
	}()
}

// commitCrashes commits the crashes of workers under runs, and logs each job that fails because of them.
func (l *leaderLoop) commitCrashes(ctx context.Context, now time.Time, crashes []batch.RunCrash) {
	if len(crashes) == 0 {
		return
	}
	r, ok := l.commit(ctx, batch.NewRecordCrashes(now, crashes...)).(batch.CrashesRecorded)
	if !ok {
		return
	}
	for _, id := range r.GivenUp() {
		j, known := l.state.Load().Job(id.Job())
		if !known {
			continue
		}
		l.metrics.givenUp.Inc(1)
		record := j.Crashes(id)
		l.logger.Warn("job given up", "task", id.String(), "run", record.Run(), "reason", "workers crashed under the task",
			"crashes", record.Crashes(), "confirmed", record.Confirmed())
	}
}

// commitStarts commits the start of runs; the next step orders the ones that were placed.
func (l *leaderLoop) commitStarts(ctx context.Context, core *dispatch.Core, now time.Time, groups []batch.Group) {
	r, ok := l.commit(ctx, batch.NewPlaceRuns(now, groups...)).(batch.RunsPlaced)
	if !ok {
		return
	}
	for i, placed := range r.Placed() {
		if placed {
			core.RunsCommitted(groups[i])
			l.metrics.starts.Inc(int64(len(groups[i].Members())))
		}
	}
}

// commitTimeout bounds a commit by the leader's loop. A leader that cannot commit is replaced earlier than that.
const commitTimeout = 3 * time.Second

func (l *leaderLoop) commit(ctx context.Context, c batch.Command) batch.Result {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	r, err := l.propose(ctx, c)
	if err != nil {
		l.logger.Warn("decision not committed", "error", err)
	}
	return r
}

// queueOrder queues an order for the agent's session. A step gives no more orders than the queue takes; if it is full all
// the same, queueOrder closes the session, and the agent opens another.
func (l *leaderLoop) queueOrder(o dispatch.AddressedOrder, term uint64) {
	s := l.sessions[o.Agent()]
	if s == nil {
		return
	}
	select {
	case s.orders <- run.NewEnvelope(term, o.Order()):
	default:
		l.logger.Warn("order queue of the agent is full; closing its session", "agent", o.Agent())
		s.cancel()
	}
}

func (l *leaderLoop) logDecisions(list []dispatch.Decision) {
	for _, e := range list {
		switch e.Kind() {
		case "lost":
			l.metrics.lost.Inc(1)
		case dispatch.WorkerCrashed:
			l.metrics.crashes.Inc(1)
		case "stop":
			l.metrics.stops.Inc(1)
			if e.Reason() == dispatch.ZoneEvacuated {
				l.metrics.zoneStops.Inc(1)
			}
		case dispatch.WorkLost:
			l.countLostWork(e)
			continue
		}
		l.logger.Info("run", "task", e.ID().Task().String(), "run", e.ID().Run(), "worker", e.Worker(),
			"decision", e.Kind(), "reason", e.Reason(), "age_ms", e.ReportAge().Milliseconds(),
			"order", e.OrderID().String(), "answered", e.Answered().String(), "session", e.Session(),
			"list_age_ms", e.ListAge().Milliseconds())
	}
}

// countLostWork counts and logs the work that a run loses.
func (l *leaderLoop) countLostWork(d dispatch.Decision) {
	lost, cause := d.LostWork()
	l.metrics.lostWork[cause].Inc(int64(math.Round(lost)))
	l.logger.Info("run", "task", d.ID().Task().String(), "run", d.ID().Run(), "decision", d.Kind(),
		"reason", d.Reason(), "core_s", math.Round(lost))
}
