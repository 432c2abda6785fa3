package control

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/registry"
)

const (
	// replanEvery covers what no notice announces: ageing jobs and ends of pauses.
	replanEvery = time.Second
	// replanPause gathers the changes of a burst into one pass; urgent work starts within 6.5 s.
	replanPause = 50 * time.Millisecond
	// rosterSettles is how long a new leader waits for announcements before it calls a job impossible.
	rosterSettles = 5 * time.Second
)

// scheduler is the controller that turns the planner's decisions into commands.
type scheduler struct {
	control  *Control
	planner  *plan.Planner
	setAside map[string]time.Time
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
		if s.control.leading() == nil {
			s.pass(ctx, time.Now())
		}
		timer.Reset(replanEvery)
		select {
		case <-ctx.Done():
			return nil
		case <-stateChanged:
		case <-rosterChanged:
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

// pass decides once and carries the decisions out.
func (s *scheduler) pass(ctx context.Context, now time.Time) {
	view := s.view(now)
	explains := board.NewTable[string]()
	for _, d := range s.planner.Decide(view, now) {
		switch t := d.(type) {
		case plan.Place:
			explains = explains.With(t.Job(), t.Explanation())
			s.commit(ctx, registry.NewReserveGang(t.Job(), t.Members()))
		case plan.Reject:
			explains = explains.With(t.Job(), t.Explanation())
			s.commit(ctx, registry.NewEndJob(t.Job(), 0, job.Rejected, t.Reason(), now))
		case plan.Wait:
			explains = explains.With(t.Job(), t.Explanation())
		case plan.Reclaim:
			s.reclaim(ctx, t)
		case plan.SetAside:
			s.setAside[t.Worker()] = t.Until()
			s.control.logger.Warn("worker set aside", "worker", t.Worker(), "until", t.Until(), "reason", t.Reason())
		}
	}
	s.control.board.explains.Publish(explains)
}

// reclaim stops the gang that the planner chose, with a checkpoint where the job allows one.
func (s *scheduler) reclaim(ctx context.Context, r plan.Reclaim) {
	j, ok := s.control.board.state.Load().Jobs().Get(r.Job())
	if !ok || !j.Placed() || j.State() == job.Stopping {
		return
	}
	s.commit(ctx, registry.NewStopGang(r.Job(), j.Fence(), r.Explanation()))
}

func (s *scheduler) commit(ctx context.Context, c registry.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := s.control.propose(ctx, c); err != nil {
		s.control.logger.Warn("decision not committed", "error", err)
	}
}

// view gathers what the planner decides on.
func (s *scheduler) view(now time.Time) plan.View {
	b := s.control.board
	state, roster := b.state.Load(), b.roster.Load()
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
	var jobs []job.Job
	for _, j := range state.Jobs().All() {
		if j.State() != job.Done {
			jobs = append(jobs, j)
		}
	}
	opts := []plan.ViewOption{
		plan.WithDrained(drained...), plan.WithUnreachable(unreachable...), plan.WithStarts(b.starts.Load()...),
	}
	for name, until := range s.setAside {
		if now.Before(until) {
			opts = append(opts, plan.WithSetAside(name, until))
		}
	}
	if roster.since.IsZero() || now.Before(roster.since.Add(rosterSettles)) {
		opts = append(opts, plan.WithPartialFleet())
	}
	return plan.NewView(workers, jobs, state.Config().Workspaces(), opts...)
}
