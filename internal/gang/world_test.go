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
	leaseLength  = 20 * time.Second
	tick         = 100 * time.Millisecond
	silenceLimit = 3200 * time.Millisecond
	capacity     = 8
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// rates are those of the workers' clocks against the leader's; 5% is the difference that leases allow for.
var rates = []float64{0.953, 1, 1.047}

// machine is a worker with a clock of its own; orders wait while it is frozen.
type machine struct {
	name   string
	host   *standin.Host
	rate   float64
	life   int
	frozen bool
	cut    bool
	heard  time.Time
	told   []task.Report
	// reports are those of the present tick, or of the last one before the worker froze.
	reports []task.Report
}

// message is on its way through the network.
type message struct {
	at  time.Time
	run func()
}

// world runs the real decisions of leader, registry and workers on a hand-driven clock.
type world struct {
	t        *rapid.T
	random   *rand.Rand
	now      time.Time
	machines []*machine
	messages []message
	state    registry.State
	term     uint64
	leads    bool
	adopted  lease.FencingToken
	progress map[string]gang.Progress
	jobs     int
	loss     int
	late     int
	oracle   *oracle
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "network"), 1)), now: start,
		state: registry.NewState(), progress: map[string]gang.Progress{}, oracle: newOracle(t),
		loss: rapid.IntRange(0, 20).Draw(t, "percent lost and doubled"),
		late: rapid.IntRange(0, 40).Draw(t, "percent late"),
	}
	for i := range 3 {
		w.machines = append(w.machines, &machine{
			name: fmt.Sprintf("w%d", i), host: standin.NewHost(capacity), heard: start,
			rate: rates[rapid.IntRange(0, 2).Draw(t, "rate")],
		})
	}
	shape, _ := workspace.NewShape(1, 1, workspace.Anywhere)
	config, _ := workspace.NewConfig([]workspace.Workspace{
		workspace.New("team", "team", shape, workspace.NewLimits(1, 1)),
	}, nil, nil)
	w.commit(registry.NewApplyConfig("", workspace.Between(workspace.EmptyConfig(), config), w.now))
	w.elect()
	return w
}

func (w *world) clock(m *machine) time.Time {
	return start.Add(time.Duration(float64(w.now.Sub(start)) * m.rate))
}

func (w *world) find(name string) *machine {
	return w.machines[slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name })]
}

func (w *world) commit(c registry.Command) registry.Result {
	next, r := registry.Apply(w.state, c)
	w.state = next
	return r
}

func (w *world) elect() {
	w.term++
	w.leads, w.adopted, w.progress = true, w.state.Fence(), map[string]gang.Progress{}
	for _, m := range w.machines {
		m.heard, m.told = w.now, nil
	}
}

// advance lets time pass in ticks; in each, messages arrive, workers act and the leader steps.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.deliver()
		for _, m := range w.machines {
			if !m.frozen {
				m.host.Advance(w.clock(m))
				m.reports = m.host.Reports()
			}
			w.report(m)
		}
		w.oracle.observe(w)
		if w.leads {
			w.lead()
		}
		w.oracle.check(w)
	}
}

func (w *world) deliver() {
	due := w.messages
	w.messages = nil
	for _, m := range due {
		if m.at.After(w.now) {
			w.messages = append(w.messages, m)
			continue
		}
		m.run()
	}
}

// report tells the leader of the worker's tasks at once; the agent of a frozen worker tells what it knew before.
func (w *world) report(m *machine) {
	if m.cut {
		return
	}
	m.heard = w.now
	if !m.frozen {
		m.told = m.reports
	}
}

// after queues a message; a part of them is lost, sent twice or longer under way than a lease.
func (w *world) after(run func()) {
	copies := 1
	switch n := w.random.IntN(100); {
	case n < w.loss:
		return
	case n < 2*w.loss:
		copies = 2
	}
	for range copies {
		delay := time.Duration(w.random.IntN(300)) * time.Millisecond
		if w.random.IntN(100) < w.late {
			delay = time.Duration(w.random.IntN(60_000)) * time.Millisecond
		}
		w.messages = append(w.messages, message{at: w.now.Add(delay), run: run})
	}
}

// send carries an order to the worker and the reply back; orders do not outlive the worker's process.
func (w *world) send(s gang.Send, id string, fence lease.FencingToken) {
	m, term := w.find(s.Worker()), w.term
	life := m.life
	var arrive func()
	arrive = func() {
		switch {
		case m.life != life || m.cut:
			return
		case m.frozen:
			w.messages = append(w.messages, message{at: w.now.Add(tick), run: arrive})
			return
		}
		refusal := m.host.CarryOut(s.Order(), w.clock(m))
		w.oracle.carried(s.Order(), refusal)
		answer := task.Accepted
		if refusal != "" {
			answer = task.Refused
		}
		w.after(func() {
			if p, ok := w.progress[id]; ok && w.leads && w.term == term && p.Fence() == fence && !m.cut {
				w.progress[id] = p.WithReply(task.IDOf(s.Order()).Index(), s.Order(), task.NewReply(answer, refusal), w.now)
			}
		})
	}
	w.after(arrive)
}

func (w *world) lead() {
	for _, id := range w.placed() {
		j, _ := w.state.Jobs().Get(id)
		p, ok := w.progress[id]
		if !ok || p.Fence() != j.Fence() {
			if p = gang.NewProgress(j, w.term, w.now); j.Fence() <= w.adopted {
				p = p.Adopted()
			}
		}
		for i, member := range j.Members() {
			m := w.find(member.Worker())
			p = p.WithSilence(i, w.now.Sub(m.heard) > silenceLimit)
			for _, r := range m.told {
				if r.ID() == task.NewID(id, i) {
					p = p.WithReport(r)
				}
			}
		}
		for _, a := range gang.Step(j, p, w.now) {
			p = w.carryOut(j, p, a)
		}
		w.progress[id] = p
	}
}

func (w *world) placed() (ids []string) {
	for id, j := range w.state.Unfinished().All() {
		if j.Placed() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *world) carryOut(j job.Job, p gang.Progress, a gang.Action) gang.Progress {
	id, fence := j.Spec().ID(), j.Fence()
	switch t := a.(type) {
	case gang.Send:
		w.send(t, id, fence)
		return p.WithSent(task.IDOf(t.Order()).Index(), t.Order(), w.now)
	case gang.Start:
		w.oracle.starts(j)
		w.commit(registry.NewStartGang(id, fence))
	case gang.Stop:
		w.commit(registry.NewStopGang(id, fence, t.Reason()))
	case gang.Release:
		w.commit(registry.NewThrottleGang(id, fence, job.Throttled, "throttled"))
	case gang.Requeue:
		w.commit(registry.NewRequeueJob(id, fence, t.Reason(), t.NotBefore()))
		w.oracle.released(j, job.Unfinished)
	case gang.End:
		w.commit(registry.NewEndJob(id, fence, t.Result(), t.Reason(), w.now))
		w.oracle.released(j, t.Result())
	}
	return p
}

// free returns the accelerators of each worker that the registry believes to be free.
func (w *world) free() map[string]int {
	free := map[string]int{}
	for _, m := range w.machines {
		free[m.name] = capacity
	}
	for _, j := range w.state.Unfinished().All() {
		for _, m := range j.Members() {
			if j.Holds() {
				free[m.Worker()] -= m.Accelerators()
			}
		}
	}
	return free
}

// place puts the first queued job that fits on workers that the registry believes to be free.
func (w *world) place() {
	free := w.free()
	var queued []job.Job
	for _, j := range w.state.Unfinished().All() {
		if j.State() == job.Queued && !j.NotBefore().After(w.now) {
			queued = append(queued, j)
		}
	}
	slices.SortFunc(queued, func(a, b job.Job) int { return a.Spec().SubmittedAt().Compare(b.Spec().SubmittedAt()) })
	for _, j := range queued {
		if members := w.fit(j.Spec().Shape(), free); members != nil {
			w.commit(registry.NewReserveGang(j.Spec().ID(), members, leaseLength))
			return
		}
	}
}

func (w *world) fit(s workspace.Shape, free map[string]int) (members []job.Member) {
	order := w.random.Perm(len(w.machines))
	for i := range s.Members() {
		at := slices.IndexFunc(order, func(k int) bool { return free[w.machines[k].name] >= s.Accelerators() })
		if at < 0 {
			return nil
		}
		name := w.machines[order[at]].name
		free[name] -= s.Accelerators()
		members = append(members, job.NewMember(i, name, s.Accelerators()))
	}
	return members
}
