package control

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/task"
)

const (
	// startsKept bounds the outcomes of starts that the planner judges workers by.
	startsKept = 256
	idleCheck  = time.Minute
	// followerCheck is how soon a new leader takes up the gangs when nothing else wakes it.
	followerCheck = time.Second
)

// reply is what became of one order.
type reply struct {
	job    string
	fence  lease.Fence
	index  int
	worker string
	order  task.Order
	reply  task.Reply
}

// settled is the end of one commit for a job.
type settled struct {
	job string
}

// gangs is the controller that drives every job that holds accelerators; its goroutine owns the progress.
type gangs struct {
	control  *Control
	progress map[string]gang.Progress
	busy     map[string]bool
	replies  chan reply
	commits  chan settled
}

func newDriver(c *Control) *gangs {
	return &gangs{
		control: c, progress: map[string]gang.Progress{}, busy: map[string]bool{},
		replies: make(chan reply), commits: make(chan settled),
	}
}

// run steps all placed jobs after each change while this process leads.
func (g *gangs) run(ctx context.Context) error {
	timer := time.NewTimer(idleCheck)
	defer timer.Stop()
	b := g.control.board
	for {
		_, stateChanged := b.state.Watch()
		_, rosterChanged := b.roster.Watch()
		next := followerCheck
		if g.control.leading() == nil {
			next = g.pass(ctx, time.Now())
		} else {
			clear(g.progress)
		}
		timer.Reset(next)
		select {
		case <-ctx.Done():
			return nil
		case <-stateChanged:
		case <-rosterChanged:
		case <-timer.C:
		case r := <-g.replies:
			g.take(r, time.Now())
		case s := <-g.commits:
			delete(g.busy, s.job)
		}
	}
}

// pass steps every placed job and returns how long until the next step is due.
func (g *gangs) pass(ctx context.Context, now time.Time) time.Duration {
	next := now.Add(idleCheck)
	jobs := g.control.board.state.Load().Jobs()
	for id := range g.progress {
		if j, ok := jobs.Get(id); !ok || !j.Placed() {
			delete(g.progress, id)
		}
	}
	for id, j := range jobs.All() {
		if !j.Placed() {
			continue
		}
		p := g.observe(j, now)
		if !g.busy[id] {
			for _, a := range gang.Step(j, p, now) {
				p = g.carryOut(ctx, j, p, a, now)
			}
		}
		g.progress[id] = p
		if due := gang.Next(j, p, now); due.Before(next) {
			next = due
		}
	}
	return max(time.Millisecond, next.Sub(now))
}

// observe brings the progress of a job up to date with the roster.
func (g *gangs) observe(j job.Job, now time.Time) gang.Progress {
	p, ok := g.progress[j.Spec().ID()]
	if !ok || p.Fence() != j.Fence() {
		p = gang.NewProgress(j, g.control.taskLease, g.control.node.Status().Load().Term(), now)
	}
	roster := g.control.board.roster.Load()
	for i, m := range j.Members() {
		_, live := roster.snapshot.Find(m.Worker())
		p = p.WithSilence(i, !live)
		reports, _ := roster.tasks.Get(m.Worker())
		for _, r := range reports {
			if r.ID().Job() == j.Spec().ID() && r.ID().Index() == i {
				p = p.WithReport(r)
			}
		}
	}
	return p
}

func (g *gangs) carryOut(ctx context.Context, j job.Job, p gang.Progress, a gang.Action, now time.Time) gang.Progress {
	id, fence := j.Spec().ID(), j.Fence()
	switch t := a.(type) {
	case gang.Send:
		index := indexOf(t.Order())
		p = p.WithSent(index, t.Order(), now)
		go g.send(ctx, reply{job: id, fence: fence, index: index, worker: t.Worker(), order: t.Order()})
	case gang.Start:
		g.commit(ctx, id, registry.NewStartGang(id, fence))
	case gang.Stop:
		g.control.logger.Info("stopping job", "job", id, "reason", t.Reason())
		g.commit(ctx, id, registry.NewStopGang(id, fence, t.Reason()))
	case gang.Requeue:
		g.commit(ctx, id, registry.NewRequeueJob(id, fence, t.Reason(), t.NotBefore()))
	case gang.End:
		g.control.logger.Info("job ended", "job", id, "result", string(t.Result()), "reason", t.Reason())
		g.record(j, t.Result(), now)
		g.commit(ctx, id, registry.NewEndJob(id, fence, t.Result(), t.Reason(), now))
	}
	return p
}

// commit proposes a command for a job, which is not stepped until the answer is there.
func (g *gangs) commit(ctx context.Context, id string, c registry.Command) {
	g.busy[id] = true
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

// send gives one order to an agent and hands the answer to the controller.
func (g *gangs) send(ctx context.Context, r reply) {
	r.reply = g.control.order(ctx, r.worker, r.order)
	select {
	case g.replies <- r:
	case <-ctx.Done():
	}
}

func (g *gangs) take(r reply, now time.Time) {
	p, ok := g.progress[r.job]
	if !ok || p.Fence() != r.fence {
		return
	}
	g.progress[r.job] = p.WithReply(r.index, r.order, r.reply, now)
	if _, ok := r.order.(task.Start); ok && r.reply.Answer() != task.Unanswered {
		g.remember(plan.NewStart(r.worker, r.job, now, r.reply.Answer() == task.Accepted))
	}
}

// record remembers a failure of the job on its workers, so that the planner can tell bad workers from bad jobs.
func (g *gangs) record(j job.Job, result job.Result, now time.Time) {
	if result != job.Failed {
		return
	}
	for _, m := range j.Members() {
		g.remember(plan.NewStart(m.Worker(), j.Spec().ID(), now, false))
	}
}

func (g *gangs) remember(s plan.Start) {
	old := g.control.board.starts.Load()
	kept := append(make([]plan.Start, 0, len(old)+1), old...)
	kept = append(kept, s)
	if len(kept) > startsKept {
		kept = kept[len(kept)-startsKept:]
	}
	g.control.board.starts.Publish(kept)
}

func indexOf(o task.Order) int {
	switch t := o.(type) {
	case task.Reserve:
		return t.ID().Index()
	case task.Start:
		return t.ID().Index()
	case task.Renew:
		return t.ID().Index()
	case task.Stop:
		return t.ID().Index()
	case task.Throttle:
		return t.ID().Index()
	}
	return 0
}
