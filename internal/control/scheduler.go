package control

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/declaration"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

const (
	// replanEvery covers what no notice announces: ageing jobs and ends of pauses.
	replanEvery = time.Second
	// replanPause gathers the changes of a burst into one pass; urgent work starts within 6.5 s.
	replanPause = 50 * time.Millisecond
	// commitThreads bounds the decisions of one pass that are committed at once; the ledger writes them in groups.
	commitThreads = 64
)

// scheduler is the controller that turns the planner's decisions into commands.
type scheduler struct {
	control  *Control
	planner  *plan.Planner
	setAside map[string]time.Time
	seen     seen
	queued   bool
	passedAt time.Time
}

// seen is what a pass decides on; an equal value and an empty queue need no pass.
type seen struct {
	unfinished board.Table[job.Job]
	config     *workspace.Config
	drained    board.Table[bool]
	roster     *Roster
	starts     uint64
	mutes      uint64
	settled    bool
}

func newScheduler(c *Control) *scheduler {
	return &scheduler{control: c, planner: plan.New(c.planner...), setAside: map[string]time.Time{}}
}

// run plans after each change while this process leads.
func (s *scheduler) run(ctx context.Context) error {
	timer := time.NewTimer(replanEvery)
	defer timer.Stop()
	b := s.control.board
	for {
		_, stateChanged := b.state.Watch()
		_, rosterChanged := b.roster.Watch()
		_, startsChanged := b.starts.Watch()
		if now := time.Now(); s.control.leading() == nil && s.due(now) {
			s.pass(ctx, now)
		}
		timer.Reset(replanEvery)
		select {
		case <-ctx.Done():
			return nil
		case <-stateChanged:
		case <-rosterChanged:
		case <-startsChanged:
		case <-timer.C:
		}
		timer.Reset(replanPause)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
	}
}

// due reports whether the planner may decide differently than at the latest pass.
func (s *scheduler) due(now time.Time) bool {
	b := s.control.board
	state := b.state.Load()
	latest := seen{
		unfinished: state.Unfinished(), config: state.Config(), drained: state.Drained(),
		roster: b.roster.Load(),
		starts: b.starts.Version(), mutes: b.mutes.Version(),
		settled: b.roster.Load().settled(s.control.node.Status().Load().Term(), now),
	}
	if latest == s.seen && (!s.queued || now.Before(s.passedAt.Add(replanEvery))) {
		return false
	}
	s.seen, s.passedAt = latest, now
	return true
}

// pass decides once and carries the decisions out.
func (s *scheduler) pass(ctx context.Context, now time.Time) {
	view, explains := s.view(now)
	short := board.NewTable[string]()
	var g errgroup.Group
	g.SetLimit(commitThreads)
	commit := func(c registry.Command) {
		g.Go(func() error {
			s.commit(ctx, c)
			return nil
		})
	}
	for _, d := range s.planner.Decide(view, now) {
		switch t := d.(type) {
		case plan.Place:
			explains = explains.With(t.Job(), t.Explanation())
			commit(registry.NewReserveGang(t.Job(), t.Members(), s.lease(t)))
		case plan.Reject:
			explains = explains.With(t.Job(), t.Explanation())
			commit(registry.NewEndJob(t.Job(), 0, job.Rejected, t.Reason(), now))
		case plan.Wait:
			explains = explains.With(t.Job(), t.Explanation())
		case plan.Reclaim:
			if j, ok := s.seen.unfinished.Get(t.Job()); ok && j.HoldsAccelerators() && !j.Releasing() {
				commit(reclaim(j, t))
			}
		case plan.Resume:
			if j, ok := s.seen.unfinished.Get(t.Job()); ok && j.Speed() == job.Throttled {
				commit(registry.NewThrottleGang(t.Job(), j.FencingToken(), job.Resumed, t.Explanation()))
			}
		case plan.Shortfall:
			short = short.With(t.Workspace(), t.Explanation())
		case plan.Quarantine:
			s.setAside[t.Worker()] = t.Until()
			s.control.logger.Warn("worker set aside", "worker", t.Worker(), "until", t.Until(), "reason", t.Reason())
		}
	}
	_ = g.Wait() // commit logs its errors
	s.control.board.explains.Publish(s.tell(explains, short))
}

// reclaim returns the command that takes a job's accelerators back; the workers checkpoint a stopped job if they can.
func reclaim(j job.Job, r plan.Reclaim) registry.Command {
	if r.Method() == plan.Throttle {
		return registry.NewThrottleGang(r.Job(), j.FencingToken(), job.Throttling, r.Explanation())
	}
	return registry.NewStopGang(r.Job(), j.FencingToken(), r.Explanation())
}

func (s *scheduler) commit(ctx context.Context, c registry.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := s.control.propose(ctx, c); err != nil {
		s.control.logger.Warn("decision not committed", "error", err)
	}
}

// view gathers what the planner decides on; jobs that pause after a reservation that failed are left out and explained.
func (s *scheduler) view(now time.Time) (v plan.View, explains board.Table[string]) {
	b := s.control.board
	state, roster, term := b.state.Load(), s.seen.roster, s.control.node.Status().Load().Term()
	var workers []fleet.Worker
	var drained, unreachable []string
	for _, e := range roster.snapshot.All() {
		workers = append(workers, e.Worker())
		if d, _ := state.Drained().Get(e.Name()); d || e.State() == fleet.Leaving {
			drained = append(drained, e.Name())
		}
	}
	for name, w := range roster.lost.All() {
		workers = append(workers, w)
		unreachable = append(unreachable, name)
	}
	explains, s.queued = board.NewTable[string](), false
	var jobs []job.Job
	for id, j := range s.seen.unfinished.All() {
		s.queued = s.queued || j.State() == job.Queued
		if j.State() == job.Queued && now.Before(j.NotBefore()) {
			explains = explains.With(id, fmt.Sprintf("pauses %s after: %s", j.NotBefore().Sub(now).Round(time.Millisecond), j.Reason()))
			continue
		}
		jobs = append(jobs, j)
	}
	opts := []plan.ViewOption{
		plan.WithDrained(drained...), plan.WithUnreachable(unreachable...), plan.WithStartOutcomes(b.starts.Load()...),
	}
	for name, until := range s.setAside {
		if now.Before(until) {
			opts = append(opts, plan.WithQuarantined(name, until))
		} else {
			delete(s.setAside, name)
		}
	}
	for name, m := range b.mutes.Load().All() {
		if now.Before(m.until) && s.setAside[name].Before(m.until) {
			opts = append(opts, plan.WithQuarantined(name, m.until))
		}
	}
	if !roster.settled(term, now) {
		opts = append(opts, plan.WithPartialFleet())
	}
	return plan.NewView(workers, jobs, state.Config().Workspaces(), opts...), explains
}

// lease returns the length of the task leases of a placement, as the configuration declares it.
func (s *scheduler) lease(p plan.Place) time.Duration {
	state := s.control.board.state.Load()
	j, ok := state.Jobs().Get(p.Job())
	if !ok {
		return s.control.taskLease
	}
	var workers []string
	for _, m := range p.Members() {
		workers = append(workers, m.Worker())
	}
	return declaration.TaskLeaseOf(state.Config(), j.Spec().Workspace(), workers, s.control.taskLease)
}
