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
	// replanInterval bounds the time between two passes while jobs are queued, since the ageing of jobs and the end of
	// a retry pause change no section of the board.
	replanInterval = time.Second
	// replanDelay combines the changes of a burst into one pass; it counts towards the 6.5 s within which urgent work
	// starts.
	replanDelay = 50 * time.Millisecond
	// maxConcurrentCommits bounds the decisions of a pass that are committed concurrently; the ledger writes them in
	// groups.
	maxConcurrentCommits = 64
)

// scheduler is the controller that commits the planner's decisions.
type scheduler struct {
	control     *Control
	planner     *plan.Planner
	quarantined map[string]time.Time
	input       planInput
	hasQueued   bool
	lastPass    time.Time
}

// planInput identifies the input of a pass; while it is unchanged and no job is queued, no pass is needed.
type planInput struct {
	unfinished       board.Table[job.Job]
	config           *workspace.Config
	drained          board.Table[bool]
	evacuations      board.Table[registry.Evacuation]
	roster           *Roster
	startOutcomes    uint64
	orderQuarantines uint64
	rosterComplete   bool
}

func newScheduler(c *Control) *scheduler {
	return &scheduler{control: c, planner: plan.New(c.plannerOptions...), quarantined: map[string]time.Time{}}
}

// run runs a pass after each change of the input while this process is the leader.
func (s *scheduler) run(ctx context.Context) error {
	timer := time.NewTimer(replanInterval)
	defer timer.Stop()
	b := s.control.board
	for {
		_, stateChanged := b.state.Watch()
		_, rosterChanged := b.roster.Watch()
		_, outcomesChanged := b.startOutcomes.Watch()
		if now := time.Now(); s.control.checkLeader() == nil && s.due(now) {
			s.pass(ctx, now)
		}
		timer.Reset(replanInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-stateChanged:
		case <-rosterChanged:
		case <-outcomesChanged:
		case <-timer.C:
		}
		timer.Reset(replanDelay)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
	}
}

// due reports whether the planner may decide differently than in the latest pass, and records the input if so.
func (s *scheduler) due(now time.Time) bool {
	b := s.control.board
	state := b.state.Load()
	latest := planInput{
		unfinished: state.Unfinished(), config: state.Config(), drained: state.Drained(), evacuations: state.Evacuations(),
		roster:        b.roster.Load(),
		startOutcomes: b.startOutcomes.Version(), orderQuarantines: b.orderQuarantines.Version(),
		rosterComplete: b.roster.Load().complete(s.control.node.Status().Load().Term(), now),
	}
	if latest == s.input && (!s.hasQueued || now.Before(s.lastPass.Add(replanInterval))) {
		return false
	}
	s.input, s.lastPass = latest, now
	return true
}

// pass runs the planner once, commits its decisions and publishes the explanations.
func (s *scheduler) pass(ctx context.Context, now time.Time) {
	view, explanations := s.view(now)
	shortfalls := board.NewTable[string]()
	var g errgroup.Group
	g.SetLimit(maxConcurrentCommits)
	commit := func(c registry.Command) {
		g.Go(func() error {
			s.commit(ctx, c)
			return nil
		})
	}
	for _, d := range s.planner.Decide(view, now) {
		switch t := d.(type) {
		case plan.Place:
			explanations = explanations.With(t.Job(), t.Explanation())
			commit(registry.NewReserveGang(t.Job(), t.Members(), s.taskLease(t)))
		case plan.Reject:
			explanations = explanations.With(t.Job(), t.Explanation())
			commit(registry.NewEndJob(t.Job(), 0, job.Rejected, t.Reason(), now))
		case plan.Wait:
			explanations = explanations.With(t.Job(), t.Explanation())
		case plan.Reclaim:
			if j, ok := s.input.unfinished.Get(t.Job()); ok && j.HoldsAccelerators() && !j.Releasing() {
				commit(reclaimCommand(j, t))
			}
		case plan.Resume:
			if j, ok := s.input.unfinished.Get(t.Job()); ok && j.Speed() == job.Throttled {
				commit(registry.NewThrottleGang(t.Job(), j.FencingToken(), job.Resumed, t.Explanation()))
			}
		case plan.Shortfall:
			shortfalls = shortfalls.With(t.Workspace(), t.Explanation())
		case plan.Quarantine:
			s.quarantined[t.Worker()] = t.Until()
			s.control.logger.Warn("worker set aside", "worker", t.Worker(), "until", t.Until(), "reason", t.Reason())
		}
	}
	_ = g.Wait() // commit logs its errors
	s.control.board.explanations.Publish(s.publishShortfalls(explanations, shortfalls))
}

// reclaimCommand returns the command that reclaims a job's accelerators by throttling or stopping it; the workers
// checkpoint a stopped job if they can.
func reclaimCommand(j job.Job, r plan.Reclaim) registry.Command {
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

// view returns the input of the planner, and the explanations of the jobs that it leaves out: those that are paused
// after a failed reservation.
func (s *scheduler) view(now time.Time) (v plan.View, explanations board.Table[string]) {
	b := s.control.board
	state, roster, term := b.state.Load(), s.input.roster, s.control.node.Status().Load().Term()
	var workers []fleet.Worker
	var drained, unreachable []string
	for _, e := range roster.snapshot.All() {
		workers = append(workers, e.Worker())
		if keepsFromWork(state, e) || e.State() == fleet.Leaving {
			drained = append(drained, e.Name())
		}
	}
	for name, w := range roster.lost.All() {
		workers = append(workers, w)
		unreachable = append(unreachable, name)
	}
	explanations, s.hasQueued = board.NewTable[string](), false
	var jobs []job.Job
	for id, j := range s.input.unfinished.All() {
		s.hasQueued = s.hasQueued || j.State() == job.Queued
		if j.State() == job.Queued && now.Before(j.NotBefore()) {
			explanations = explanations.With(id, fmt.Sprintf("pauses %s after: %s", j.NotBefore().Sub(now).Round(time.Millisecond), j.Reason()))
			continue
		}
		jobs = append(jobs, j)
	}
	opts := []plan.ViewOption{
		plan.WithDrained(drained...), plan.WithUnreachable(unreachable...), plan.WithStartOutcomes(b.startOutcomes.Load()...),
	}
	for name, until := range s.quarantined {
		if now.Before(until) {
			opts = append(opts, plan.WithQuarantined(name, until))
		} else {
			delete(s.quarantined, name)
		}
	}
	for name, q := range b.orderQuarantines.Load().All() {
		if now.Before(q.until) && s.quarantined[name].Before(q.until) {
			opts = append(opts, plan.WithQuarantined(name, q.until))
		}
	}
	if !roster.complete(term, now) {
		opts = append(opts, plan.WithPartialFleet())
	}
	return plan.NewView(workers, jobs, state.Config().Workspaces(), opts...), explanations
}

// taskLease returns the length of the task leases of a placement, as the configuration declares it for the workspace
// and the workers.
func (s *scheduler) taskLease(p plan.Place) time.Duration {
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
