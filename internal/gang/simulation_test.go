package gang_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/gang"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/standin"
	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

const (
	leaseDuration         = 20 * time.Second
	tick                  = 100 * time.Millisecond
	unreachableAfter      = 3200 * time.Millisecond
	acceleratorsPerWorker = 8
)

var startTime = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// clockRates are the speeds of the workers' clocks relative to the leader's; leases allow for a difference of 5%.
var clockRates = []float64{0.953, 1, 1.047}

// simulatedWorker is a worker with its own clock; while it is frozen, it runs nothing and orders to it are delayed.
type simulatedWorker struct {
	name        string
	host        *standin.Host
	clockRate   float64
	incarnation int
	frozen      bool
	partitioned bool
	reportedAt  time.Time
	// leaderReports is what the leader received last.
	leaderReports []task.Report
	// reports is the state of the tasks at the current tick, or at the last one before the worker froze.
	reports []task.Report
}

// message is a message in transit; deliver handles its arrival.
type message struct {
	deliverAt time.Time
	deliver   func()
}

// simulation runs the decisions of the leader, the registry and the workers on a simulated clock and network.
type simulation struct {
	t         *rapid.T
	random    *rand.Rand
	now       time.Time
	workers   []*simulatedWorker
	messages  []message
	state     registry.State
	term      uint64
	hasLeader bool
	// adoptedUpTo is the largest fencing token that was issued under earlier leaders.
	adoptedUpTo lease.FencingToken
	progress    map[string]gang.Progress
	submitted   int
	lossPercent int
	latePercent int
	oracle      *oracle
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "network"), 1)), now: startTime,
		state: registry.NewState(), progress: map[string]gang.Progress{}, oracle: newOracle(t),
		lossPercent: rapid.IntRange(0, 20).Draw(t, "percent lost and doubled"),
		latePercent: rapid.IntRange(0, 40).Draw(t, "percent late"),
	}
	for i := range 3 {
		s.workers = append(s.workers, &simulatedWorker{
			name: fmt.Sprintf("w%d", i), host: standin.NewHost(acceleratorsPerWorker), reportedAt: startTime,
			clockRate: clockRates[rapid.IntRange(0, 2).Draw(t, "rate")],
		})
	}
	shape, _ := workspace.NewShape(1, 1, workspace.Anywhere)
	config, _ := workspace.NewConfig([]workspace.Workspace{
		workspace.New("team", "team", shape, workspace.NewLimits(1, 1)),
	}, nil, nil)
	s.commit(registry.NewApplyConfig("", workspace.Diff(workspace.EmptyConfig(), config), s.now))
	s.elect()
	return s
}

func (s *simulation) clockOf(w *simulatedWorker) time.Time {
	return startTime.Add(time.Duration(float64(s.now.Sub(startTime)) * w.clockRate))
}

func (s *simulation) worker(name string) *simulatedWorker {
	return s.workers[slices.IndexFunc(s.workers, func(w *simulatedWorker) bool { return w.name == name })]
}

func (s *simulation) commit(c registry.Command) registry.Result {
	next, r := registry.Apply(s.state, c)
	s.state = next
	return r
}

func (s *simulation) elect() {
	s.term++
	s.hasLeader, s.adoptedUpTo, s.progress = true, s.state.LatestFencingToken(), map[string]gang.Progress{}
	for _, w := range s.workers {
		w.reportedAt, w.leaderReports = s.now, nil
	}
}

// advance runs ticks for the given time; in each, messages arrive, workers act and the leader steps.
func (s *simulation) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tick)
		s.deliverDue()
		for _, w := range s.workers {
			if !w.frozen {
				w.host.Advance(s.clockOf(w))
				w.reports = w.host.Reports()
			}
			s.sendReports(w)
		}
		s.oracle.observe(s)
		if s.hasLeader {
			s.stepLeader()
		}
		s.oracle.check(s)
	}
}

func (s *simulation) deliverDue() {
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if m.deliverAt.After(s.now) {
			s.messages = append(s.messages, m)
			continue
		}
		m.deliver()
	}
}

// sendReports passes the reports on the worker's tasks to the leader without delay; the agent of a frozen worker repeats
// its last reports.
func (s *simulation) sendReports(w *simulatedWorker) {
	if w.partitioned {
		return
	}
	w.reportedAt = s.now
	if !w.frozen {
		w.leaderReports = w.reports
	}
}

// sendMessage queues a message; some are lost, duplicated, or delayed by up to three leases.
func (s *simulation) sendMessage(deliver func()) {
	copies := 1
	switch n := s.random.IntN(100); {
	case n < s.lossPercent:
		return
	case n < 2*s.lossPercent:
		copies = 2
	}
	for range copies {
		delay := time.Duration(s.random.IntN(300)) * time.Millisecond
		if s.random.IntN(100) < s.latePercent {
			delay = time.Duration(s.random.IntN(60_000)) * time.Millisecond
		}
		s.messages = append(s.messages, message{deliverAt: s.now.Add(delay), deliver: deliver})
	}
}

// sendOrder sends an order to the worker and the reply back; orders to an earlier incarnation of the worker are lost.
func (s *simulation) sendOrder(o gang.Send, id string, fencingToken lease.FencingToken) {
	w, term := s.worker(o.Worker()), s.term
	incarnation := w.incarnation
	var arrive func()
	arrive = func() {
		switch {
		case w.incarnation != incarnation || w.partitioned:
			return
		case w.frozen:
			s.messages = append(s.messages, message{deliverAt: s.now.Add(tick), deliver: arrive})
			return
		}
		refusal := w.host.Execute(o.Order(), s.clockOf(w))
		s.oracle.recordReservation(o.Order(), refusal)
		answer := task.Accepted
		if refusal != "" {
			answer = task.Refused
		}
		s.sendMessage(func() {
			if p, ok := s.progress[id]; ok && s.hasLeader && s.term == term && p.FencingToken() == fencingToken && !w.partitioned {
				s.progress[id] = p.WithReply(task.IDOf(o.Order()).Index(), o.Order(), task.NewReply(answer, refusal), s.now)
			}
		})
	}
	s.sendMessage(arrive)
}

func (s *simulation) stepLeader() {
	for _, id := range s.placed() {
		j, _ := s.state.Jobs().Get(id)
		p, ok := s.progress[id]
		if !ok || p.FencingToken() != j.FencingToken() {
			if p = gang.NewProgress(j, s.term, s.now); j.FencingToken() <= s.adoptedUpTo {
				p = p.Adopted()
			}
		}
		for i, member := range j.Members() {
			w := s.worker(member.Worker())
			p = p.WithUnreachable(i, s.now.Sub(w.reportedAt) > unreachableAfter)
			for _, r := range w.leaderReports {
				if r.ID() == task.NewID(id, i) {
					p = p.WithReport(r)
				}
			}
		}
		for _, a := range gang.Step(j, p, s.now) {
			p = s.execute(j, p, a)
		}
		s.progress[id] = p
	}
}

func (s *simulation) placed() (ids []string) {
	for id, j := range s.state.Unfinished().All() {
		if j.Placed() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *simulation) execute(j job.Job, p gang.Progress, a gang.Action) gang.Progress {
	id, fencingToken := j.Spec().ID(), j.FencingToken()
	switch t := a.(type) {
	case gang.Send:
		s.sendOrder(t, id, fencingToken)
		return p.WithSent(task.IDOf(t.Order()).Index(), t.Order(), s.now)
	case gang.Start:
		s.oracle.checkStart(j)
		s.commit(registry.NewStartGang(id, fencingToken))
	case gang.Stop:
		s.commit(registry.NewStopGang(id, fencingToken, t.Reason()))
	case gang.MarkThrottled:
		s.commit(registry.NewThrottleGang(id, fencingToken, job.Throttled, "throttled"))
	case gang.Requeue:
		s.commit(registry.NewRequeueJob(id, fencingToken, t.Reason(), t.NotBefore()))
		s.oracle.checkRelease(j, job.Unfinished)
	case gang.End:
		s.commit(registry.NewEndJob(id, fencingToken, t.Result(), t.Reason(), s.now))
		s.oracle.checkRelease(j, t.Result())
	}
	return p
}

// free returns the number of accelerators per worker that no job in the registry's state holds.
func (s *simulation) free() map[string]int {
	free := map[string]int{}
	for _, w := range s.workers {
		free[w.name] = acceleratorsPerWorker
	}
	for _, j := range s.state.Unfinished().All() {
		for _, m := range j.Members() {
			if j.HoldsAccelerators() {
				free[m.Worker()] -= m.Accelerators()
			}
		}
	}
	return free
}

// place reserves the oldest queued job that fits into the accelerators that are free by the registry's state.
func (s *simulation) place() {
	free := s.free()
	var queued []job.Job
	for _, j := range s.state.Unfinished().All() {
		if j.State() == job.Queued && !j.NotBefore().After(s.now) {
			queued = append(queued, j)
		}
	}
	slices.SortFunc(queued, func(a, b job.Job) int { return a.Spec().SubmittedAt().Compare(b.Spec().SubmittedAt()) })
	for _, j := range queued {
		if members := s.choose(j.Spec().Shape(), free); members != nil {
			s.commit(registry.NewReserveGang(j.Spec().ID(), members, leaseDuration))
			return
		}
	}
}

func (s *simulation) choose(shape workspace.Shape, free map[string]int) (members []job.Member) {
	order := s.random.Perm(len(s.workers))
	for i := range shape.Members() {
		at := slices.IndexFunc(order, func(k int) bool { return free[s.workers[k].name] >= shape.Accelerators() })
		if at < 0 {
			return nil
		}
		name := s.workers[order[at]].name
		free[name] -= shape.Accelerators()
		members = append(members, job.NewMember(i, name, shape.Accelerators()))
	}
	return members
}
