package control

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/task"
)

const (
	// startsKept bounds the outcomes of starts that the planner judges workers by; it holds those of four large gangs.
	startsKept = 2048
	idleCheck  = time.Minute
	maxWatched = 32
	// followerCheck is how soon a new leader takes up the gangs when nothing else wakes it.
	followerCheck = time.Second
)

// settled is the end of one commit for a job.
type settled struct {
	job string
}

// followed is what the driver knows of one job that holds accelerators.
type followed struct {
	progress gang.Progress
	state    job.State
	speed    job.Speed
	dirty    bool
	busy     bool
	next     time.Time
}

// gangs is the controller that drives every job that holds accelerators; its goroutine owns the progress.
// A pass steps the jobs that something happened to and those that are due.
type gangs struct {
	control *Control
	jobs    map[string]*followed
	outbox  *outbox
	commits chan settled
	term    uint64
	adopted lease.FencingToken
	// What the latest pass saw; an unchanged value needs no walk.
	unfinished board.Table[job.Job]
	reports    board.Table[[]task.Report]
	roster     *Roster
	settled    bool
}

func newDriver(c *Control) *gangs {
	return &gangs{
		control: c, jobs: map[string]*followed{}, outbox: newOutbox(c.order), commits: make(chan settled),
		reports: board.NewTable[[]task.Report](),
	}
}

// run steps placed jobs after each change while this process leads.
func (g *gangs) run(ctx context.Context) error {
	timer := time.NewTimer(idleCheck)
	defer timer.Stop()
	b := g.control.board
	for {
		_, stateChanged := b.state.Watch()
		_, rosterChanged := b.roster.Watch()
		_, reportsChanged := b.reports.Watch()
		next := followerCheck
		// The time is taken before the check, so that a lease that an order grants counts from a moment
		// at which this process led even if it is frozen in between.
		if now, status := time.Now(), g.control.node.Status().Load(); status.Ready(clock.Now()) {
			next = g.pass(ctx, status.Term(), now)
		}
		timer.Reset(next)
		select {
		case <-ctx.Done():
			return nil
		case <-stateChanged:
		case <-rosterChanged:
		case <-reportsChanged:
		case <-timer.C:
		case r := <-g.outbox.replies:
			g.take(ctx, r, time.Now())
		case s := <-g.commits:
			if f, ok := g.jobs[s.job]; ok {
				f.busy, f.dirty = false, true
			}
		}
	}
}

// pass steps the jobs that need it and returns how long until the next step is due.
func (g *gangs) pass(ctx context.Context, term uint64, now time.Time) time.Duration {
	g.follow(term, now)
	next := now.Add(idleCheck)
	jobs := g.control.board.state.Load().Jobs()
	for id, f := range g.jobs {
		if (f.dirty || !now.Before(f.next)) && !f.busy {
			if j, ok := jobs.Get(id); ok {
				g.step(ctx, j, f, now)
			}
		}
		if f.next.Before(next) {
			next = f.next
		}
	}
	g.outbox.flush(ctx)
	return max(time.Millisecond, next.Sub(now))
}

func (g *gangs) step(ctx context.Context, j job.Job, f *followed, now time.Time) {
	f.dirty, f.state, f.speed = false, j.State(), j.Speed()
	for _, a := range gang.Step(j, f.progress, now) {
		g.carryOut(ctx, j, f, a, now)
	}
	f.next = gang.Next(j, f.progress, now)
}

func (g *gangs) carryOut(ctx context.Context, j job.Job, f *followed, a gang.Action, now time.Time) {
	id, fence := j.Spec().ID(), j.Fence()
	switch t := a.(type) {
	case gang.Send:
		f.progress = f.progress.WithSent(task.IDOf(t.Order()).Index(), t.Order(), now)
		g.outbox.add(t.Worker(), fence, g.watched(j, t.Order()))
	case gang.Start:
		g.commit(ctx, f, id, registry.NewStartGang(id, fence))
	case gang.Stop:
		g.control.logger.Info("stopping job", "job", id, "reason", t.Reason())
		g.commit(ctx, f, id, registry.NewStopGang(id, fence, t.Reason()))
	case gang.Release:
		g.commit(ctx, f, id, registry.NewThrottleGang(id, fence, job.Throttled, "holds no accelerators: "+j.Reason()))
	case gang.Requeue:
		g.commit(ctx, f, id, registry.NewRequeueJob(id, fence, t.Reason(), t.NotBefore()))
	case gang.End:
		g.control.logger.Info("job ended", "job", id, "result", string(t.Result()), "reason", t.Reason())
		g.record(j, f.progress, now)
		g.commit(ctx, f, id, registry.NewEndJob(id, fence, t.Result(), t.Reason(), now))
	}
}

// watched adds to a reservation where the members of its gang watch each other: through the agent of the
// first one. Larger gangs are not watched, so that a hub hears at most 31 others a second for each gang.
func (g *gangs) watched(j job.Job, o task.Order) task.Order {
	r, ok := o.(task.Reserve)
	if n := len(j.Members()); !ok || n < 2 || n > maxWatched {
		return o
	}
	if hub, live := g.roster.snapshot.Find(j.Members()[0].Worker()); live {
		return r.WithWatch(task.NewWatch(hub.Address(), len(j.Members())))
	}
	return o
}

// commit proposes a command for a job, which is not stepped until the answer is there.
func (g *gangs) commit(ctx context.Context, f *followed, id string, c registry.Command) {
	f.busy = true
	go func() {
		bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := g.control.propose(bounded, c); err != nil {
			g.control.logger.Warn("step not committed", "job", id, "error", err)
			select {
			case <-time.After(replanPause):
			case <-ctx.Done():
			}
		}
		select {
		case g.commits <- settled{job: id}:
		case <-ctx.Done():
		}
	}()
}

// take brings the progress of the jobs of one batch up to date.
func (g *gangs) take(ctx context.Context, b batch, now time.Time) {
	for i, o := range b.orders {
		id := task.IDOf(o.order)
		f, ok := g.jobs[id.Job()]
		if !ok || f.progress.Fence() != o.fence {
			continue
		}
		f.progress, f.dirty = f.progress.WithReply(id.Index(), o.order, b.replies[i], now), true
		g.judge(b.worker, o.order, b.replies[i], now)
	}
	g.listen(b, now)
	g.outbox.done(ctx, b)
}

// judge remembers whether a worker took the reservation or the start of a task.
func (g *gangs) judge(worker string, o task.Order, r task.Reply, now time.Time) {
	accepted := r.Answer() == task.Accepted
	if r.Answer() == task.Unanswered {
		return
	}
	switch t := o.(type) {
	case task.Reserve:
		if !accepted {
			g.remember(plan.NewStartOutcome(worker, t.ID().Job(), now, false))
		}
	case task.Start:
		g.remember(plan.NewStartOutcome(worker, t.ID().Job(), now, accepted))
	case task.Renew, task.Stop, task.Throttle:
	}
}

// record remembers the workers whose members failed, so that the planner can tell bad workers from bad jobs.
func (g *gangs) record(j job.Job, p gang.Progress, now time.Time) {
	for i, m := range j.Members() {
		if p.Failed(i) {
			g.remember(plan.NewStartOutcome(m.Worker(), j.Spec().ID(), now, false))
		}
	}
}

func (g *gangs) remember(s plan.StartOutcome) {
	old := g.control.board.starts.Load()
	kept := append(make([]plan.StartOutcome, 0, len(old)+1), old...)
	kept = append(kept, s)
	if len(kept) > startsKept {
		kept = kept[len(kept)-startsKept:]
	}
	g.control.board.starts.Publish(kept)
}
