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
	// maxStartOutcomes is the number of start outcomes that the planner evaluates; it covers four large gangs.
	maxStartOutcomes = 2048
	// idleInterval bounds the time between two passes of the leader.
	idleInterval = time.Minute
	// maxWatchedMembers is the size of the largest gang whose members watch each other.
	maxWatchedMembers = 32
	// followerInterval is the time between two checks of a follower for leadership when nothing else wakes it.
	followerInterval = time.Second
)

// commitDone reports that a commit for a job has ended, with or without success.
type commitDone struct {
	jobID string
}

// trackedJob is the driver's record of one job that holds accelerators.
type trackedJob struct {
	progress   gang.Progress
	state      job.State
	speed      job.Speed
	dirty      bool
	committing bool
	nextStep   time.Time
}

// gangDriver is the controller that sends the orders and commits the commands of every job that holds accelerators;
// its goroutine owns the progress of the jobs. A pass steps the jobs that changed and those whose next step is due.
type gangDriver struct {
	control      *Control
	jobs         map[string]*trackedJob
	outbox       *outbox
	commits      chan commitDone
	term         uint64
	adoptedToken lease.FencingToken
	// The values of the latest pass; an unchanged value is not walked again.
	unfinished     board.Table[job.Job]
	reports        board.Table[[]task.Report]
	roster         *Roster
	rosterComplete bool
	evacuations    board.Table[registry.Evacuation]
}

func newGangDriver(c *Control) *gangDriver {
	return &gangDriver{
		control: c, jobs: map[string]*trackedJob{}, outbox: newOutbox(c.sendOrders), commits: make(chan commitDone),
		reports: board.NewTable[[]task.Report](), evacuations: board.NewTable[registry.Evacuation](),
	}
}

// run steps placed jobs after each change while this process is the leader.
func (g *gangDriver) run(ctx context.Context) error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	b := g.control.board
	for {
		_, stateChanged := b.state.Watch()
		_, rosterChanged := b.roster.Watch()
		_, reportsChanged := b.reports.Watch()
		next := followerInterval
		// The time is read before the check, so that a lease that an order grants counts from a moment at which
		// this process was the leader, even if the process is suspended in between.
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
		case r := <-g.outbox.finished:
			g.handleReplies(ctx, r, time.Now())
		case s := <-g.commits:
			if tracked, ok := g.jobs[s.jobID]; ok {
				tracked.committing, tracked.dirty = false, true
			}
		}
	}
}

// pass steps the jobs that changed or are due and returns the time until the next step is due.
func (g *gangDriver) pass(ctx context.Context, term uint64, now time.Time) time.Duration {
	jobs := g.sync(term, now).Jobs()
	next := now.Add(idleInterval)
	for id, tracked := range g.jobs {
		if (tracked.dirty || !now.Before(tracked.nextStep)) && !tracked.committing {
			if j, ok := jobs.Get(id); ok {
				g.step(ctx, j, tracked, now)
			}
		}
		if tracked.nextStep.Before(next) {
			next = tracked.nextStep
		}
	}
	g.outbox.flush(ctx)
	return max(time.Millisecond, next.Sub(now))
}

func (g *gangDriver) step(ctx context.Context, j job.Job, tracked *trackedJob, now time.Time) {
	tracked.dirty, tracked.state, tracked.speed = false, j.State(), j.Speed()
	for _, a := range gang.Step(j, tracked.progress, now) {
		g.execute(ctx, j, tracked, a, now)
	}
	tracked.nextStep = gang.NextStepAt(j, tracked.progress, now)
}

func (g *gangDriver) execute(ctx context.Context, j job.Job, tracked *trackedJob, a gang.Action, now time.Time) {
	id, token := j.Spec().ID(), j.FencingToken()
	switch t := a.(type) {
	case gang.Send:
		tracked.progress = tracked.progress.WithSent(task.IDOf(t.Order()).Index(), t.Order(), now)
		g.outbox.add(t.Worker(), token, g.withWatch(j, t.Order()))
	case gang.Start:
		g.commit(ctx, tracked, id, registry.NewStartGang(id, token))
	case gang.Stop:
		g.control.logger.Info("stopping job", "job", id, "reason", t.Reason())
		g.commit(ctx, tracked, id, registry.NewStopGang(id, token, t.Reason()))
	case gang.MarkThrottled:
		g.commit(ctx, tracked, id, registry.NewThrottleGang(id, token, job.Throttled, "holds no accelerators: "+j.Reason()))
	case gang.Requeue:
		g.commit(ctx, tracked, id, registry.NewRequeueJob(id, token, t.Reason(), t.NotBefore()))
	case gang.End:
		g.control.logger.Info("job ended", "job", id, "result", string(t.Result()), "reason", t.Reason())
		g.recordFailures(j, tracked.progress, now)
		g.commit(ctx, tracked, id, registry.NewEndJob(id, token, t.Result(), t.Reason(), now))
	}
}

// withWatch adds to a reservation the hub through which the members of the gang watch each other: the agent of the
// first member. Gangs of more than maxWatchedMembers are not watched, so that a hub receives at most 31 pings a second
// for each gang.
func (g *gangDriver) withWatch(j job.Job, o task.Order) task.Order {
	r, ok := o.(task.Reserve)
	if n := len(j.Members()); !ok || n < 2 || n > maxWatchedMembers {
		return o
	}
	if hub, live := g.roster.snapshot.Find(j.Members()[0].Worker()); live {
		return r.WithWatch(task.NewGangWatch(hub.Address(), len(j.Members())))
	}
	return o
}

// commit proposes a command for a job, which is not stepped until the commit ends; after a failure that is no sooner
// than replanDelay.
func (g *gangDriver) commit(ctx context.Context, tracked *trackedJob, id string, c registry.Command) {
	tracked.committing = true
	go func() {
		bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := g.control.propose(bounded, c); err != nil {
			g.control.logger.Warn("step not committed", "job", id, "error", err)
			select {
			case <-time.After(replanDelay):
			case <-ctx.Done():
			}
		}
		select {
		case g.commits <- commitDone{jobID: id}:
		case <-ctx.Done():
		}
	}()
}

// handleReplies records the replies to one batch in the progress of its jobs.
func (g *gangDriver) handleReplies(ctx context.Context, b batch, now time.Time) {
	for i, o := range b.orders {
		id := task.IDOf(o.order)
		tracked, ok := g.jobs[id.Job()]
		if !ok || tracked.progress.FencingToken() != o.token {
			continue
		}
		tracked.progress, tracked.dirty = tracked.progress.WithReply(id.Index(), o.order, b.replies[i], now), true
		g.recordReply(b.worker, o.order, b.replies[i], now)
	}
	g.updateOrderQuarantine(b, now)
	g.outbox.finish(ctx, b)
}

// recordReply records a start outcome if the worker refused a reservation or answered a start.
func (g *gangDriver) recordReply(worker string, o task.Order, r task.Reply, now time.Time) {
	accepted := r.Answer() == task.Accepted
	if r.Answer() == task.Unanswered {
		return
	}
	switch t := o.(type) {
	case task.Reserve:
		if !accepted {
			g.recordStart(plan.NewStartOutcome(worker, t.ID().Job(), now, false))
		}
	case task.Start:
		g.recordStart(plan.NewStartOutcome(worker, t.ID().Job(), now, accepted))
	case task.Renew, task.Stop, task.Throttle:
	}
}

// recordFailures records a failed start for each worker whose member failed, so that the planner can tell faulty
// workers from faulty jobs.
func (g *gangDriver) recordFailures(j job.Job, p gang.Progress, now time.Time) {
	for i, m := range j.Members() {
		if p.Failed(i) {
			g.recordStart(plan.NewStartOutcome(m.Worker(), j.Spec().ID(), now, false))
		}
	}
}

func (g *gangDriver) recordStart(s plan.StartOutcome) {
	old := g.control.board.startOutcomes.Load()
	kept := append(make([]plan.StartOutcome, 0, len(old)+1), old...)
	kept = append(kept, s)
	if len(kept) > maxStartOutcomes {
		kept = kept[len(kept)-maxStartOutcomes:]
	}
	g.control.board.startOutcomes.Publish(kept)
}
