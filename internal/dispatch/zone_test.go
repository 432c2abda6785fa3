package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// zoneFixture is a leader with a worker on each of four hosts: a1 and a2 in zone a, b1 and b2 in zone b. The workers carry
// out orders only when the test says so.
type zoneFixture struct {
	t       *testing.T
	now     time.Time
	term    uint64
	core    *dispatch.Core
	state   batch.State
	decoder *stubDecoder
	running map[string][]run.Running // by agent
	ended   map[string][]run.Finished
	settled map[string][]run.Settled
	slow    map[string]time.Duration
}

var zoneAgents = []string{"a1", "a2", "b1", "b2"}

const zoneCapacity = 8

// newZoneFixture returns a fixture with a job, j, of one step.
func newZoneFixture(t *testing.T, queue string, step batch.Step) *zoneFixture {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, attempts).WithObjective(3, time.Second, time.Second),
		batch.NewQueue("urgent", "h", "/u/", "s").WithPolicy(0, attempts).WithObjective(3, time.Second, time.Second),
		batch.NewQueue("advised", "h", "/a/", "s").WithPolicy(1, attempts).WithObjective(3, time.Second, time.Second).WithRequiredAdvice(true),
	}, []batch.Service{batch.NewService("s", false, false)}, []batch.Workspace{batch.NewWorkspace("w", 4*zoneCapacity, "k")})
	require.NoError(t, err)
	f := &zoneFixture{
		t: t, now: epoch, decoder: &stubDecoder{declaration: d, byJob: map[string]batch.Spec{}},
		running: map[string][]run.Running{}, ended: map[string][]run.Finished{}, settled: map[string][]run.Settled{}, slow: map[string]time.Duration{},
	}
	f.state = batch.NewState(f.decoder)
	f.apply(batch.NewDeclare(nil))
	f.submit("j", queue, step)
	f.elect()
	return f
}

func (f *zoneFixture) apply(c batch.Command) { f.state, _ = f.state.Apply(c) }

func (f *zoneFixture) submit(id, queue string, step batch.Step) {
	spec, err := batch.NewSpec(id, "", step)
	require.NoError(f.t, err)
	f.decoder.byJob[id] = spec
	f.apply(batch.NewSubmit(id, queue, "w", nil, f.now))
}

func (f *zoneFixture) evacuate(zones ...string) {
	for _, z := range zones {
		f.apply(batch.NewEvacuateZone(batch.NewEvacuation(z, "power cut", f.now)))
	}
}

// elect replaces the leader; each agent opens a session and reports its worker.
func (f *zoneFixture) elect() {
	f.term++
	f.core = dispatch.NewCore(dispatch.DefaultTiming(), f.term, f.now)
	for _, agent := range zoneAgents {
		f.core.Connect(agent, f.term)
		f.report(agent)
	}
}

func zoneWorker(agent string) batch.Incarnation { return batch.NewIncarnation(agent, "w-"+agent, 1) }

func (f *zoneFixture) report(agent string) {
	clock := f.now.Sub(epoch) + time.Millisecond
	a := run.NewAnnouncement(zoneWorker(agent), "s", agent[:1], f.now.UnixMilli()).WithMachine("m-"+agent).
		WithRack(agent, []string{"k", agent}).WithCapacity(batch.NewResources(8000, 8000, zoneCapacity)).WithClock(clock).
		WithSlowStart(f.slow[agent])
	f.core.Report(f.now, run.NewReport(agent).WithAnnouncement(a).
		WithList(run.NewList(zoneWorker(agent), f.term, clock, f.running[agent], f.ended[agent], f.settled[agent])))
}

// step advances time by 100 ms, reports all workers, and commits the runs that end and begin.
func (f *zoneFixture) step() dispatch.Actions {
	f.now = f.now.Add(100 * time.Millisecond)
	for _, agent := range zoneAgents {
		f.report(agent)
	}
	a := f.core.Step(f.now, f.state)
	if len(a.Ends()) > 0 {
		f.apply(batch.NewEndRuns(f.now, a.Ends()...))
	}
	if len(a.Groups()) > 0 {
		f.apply(batch.NewPlaceRuns(f.now, a.Groups()...))
		for _, g := range a.Groups() {
			f.core.RunsCommitted(g)
		}
	}
	return a
}

// ordered returns the zones in which the next steps order starts, one letter for each start in the order of the agents.
func (f *zoneFixture) ordered(steps int) (zones string) {
	for range steps {
		for _, o := range f.step().Orders() {
			if _, ok := o.Order().(run.Start); ok {
				zones += o.Agent()[:1]
			}
		}
	}
	return zones
}

// stopped returns the agents that the next steps order to stop a run of job j, each once.
func (f *zoneFixture) stopped(steps int) (agents []string) {
	for range steps {
		for _, o := range f.step().Orders() {
			if s, ok := o.Order().(run.Stop); ok && s.ID().Task().Job() == "j" && !slices.Contains(agents, o.Agent()) {
				agents = append(agents, o.Agent())
			}
		}
	}
	slices.Sort(agents)
	return agents
}

// placed returns the agents on which the tasks of job j are placed.
func (f *zoneFixture) placed() (agents []string) {
	j, _ := f.state.Job("j")
	for _, t := range j.Tasks(0, 0).In(batch.Placed) {
		agents = append(agents, t.Worker().Host())
	}
	slices.Sort(agents)
	return agents
}

// place places the tasks of job j on the given agents, in this order, as this leader's decision.
func (f *zoneFixture) place(agents ...string) {
	f.step() // The workers' lists show the fencing token of this leader from here on.
	j, _ := f.state.Job("j")
	for n, t := range j.Tasks(0, 0).In(batch.Placed) {
		f.apply(batch.NewEndRuns(f.now, batch.NewEnd(batch.NewTaskID("j", 0, 0, n), t.Run(), batch.Lost, "")))
	}
	var members []batch.Member
	for n, agent := range agents {
		members = append(members, batch.NewMember(n, zoneRun, zoneWorker(agent)))
	}
	g := batch.NewGroup(batch.NewTaskID("j", 0, 0, 0), members...)
	f.apply(batch.NewPlaceRuns(f.now, g))
	f.core.RunsCommitted(g)
	require.Len(f.t, f.placed(), len(agents))
}

// zoneRun is the number of the runs that place places.
const zoneRun = 9

// begin makes the workers list the runs of job j on the given agents, as complete.
func (f *zoneFixture) begin(agents ...string) {
	j, _ := f.state.Job("j")
	for n, t := range j.Tasks(0, 0).In(batch.Placed) {
		if agent := t.Worker().Host(); slices.Contains(agents, agent) {
			f.running[agent] = append(f.running[agent], run.NewRunning(run.NewID(batch.NewTaskID("j", 0, 0, n), t.Run()), "", 100, 0))
		}
	}
}

// answerStop ends the runs of job j on an agent as its worker does after a stop that overtook the start.
func (f *zoneFixture) answerStop(agents ...string) {
	for n := range zoneCapacity {
		for _, agent := range agents {
			f.settled[agent] = append(f.settled[agent],
				run.NewSettled(run.NewID(batch.NewTaskID("j", 0, 0, n), zoneRun), laterOrder))
			f.running[agent] = nil
		}
	}
}

func zoneStep(count int, opts ...batch.StepOption) batch.Step {
	return batch.NewStep(count, batch.NewResources(100, 100, zoneCapacity), time.Minute, opts...)
}

// Guards against a task that starts in an evacuated zone, and against tasks that do not run in the zones that are left or
// in one that was taken back.
func TestStartsAndEvacuatedZones(t *testing.T) {
	t.Run("all tasks in the other zone", func(t *testing.T) {
		f := newZoneFixture(t, "q", zoneStep(4))
		f.evacuate("a")
		assert.Equal(t, "bb", f.ordered(10))
	})
	t.Run("both zones, until one is taken back", func(t *testing.T) {
		f := newZoneFixture(t, "q", zoneStep(2))
		f.evacuate("a", "b")
		assert.Empty(t, f.ordered(50))
		f.apply(batch.NewReopenZone("b"))
		assert.Equal(t, "bb", f.ordered(10))
	})
	t.Run("explained", func(t *testing.T) {
		f := newZoneFixture(t, "q", zoneStep(2))
		f.evacuate("a", "b")
		reasons := ""
		for range 30 {
			for _, d := range f.step().Decisions() {
				if d.Kind() == dispatch.LongWait {
					reasons += d.Reason()
				}
			}
		}
		assert.Contains(t, reasons, "workers: 4 evacuated")
	})
	t.Run("no inquiry about its workers", func(t *testing.T) {
		f := newZoneFixture(t, "advised", zoneStep(4))
		f.evacuate("a")
		var named []string
		for range 10 {
			i, _ := f.step().Inquiry()
			for _, w := range i.Workers() {
				named = append(named, w.Host())
			}
		}
		assert.Equal(t, []string{"b1", "b2"}, named)
	})
	t.Run("no preemption of its runs", func(t *testing.T) {
		f := newZoneFixture(t, "q", zoneStep(4))
		f.place("a1", "a2", "b1", "b2")
		f.begin(zoneAgents...)
		f.step()
		f.evacuate("a")
		f.submit("k", "urgent", zoneStep(2))
		assert.Equal(t, []string{"b1", "b2"}, f.stopped(5))
	})
}

// Guards against a start in an evacuated zone by an order that was under way when the zone was evacuated.
func TestOrdersUnderWayToEvacuatedZone(t *testing.T) {
	t.Run("committed and not ordered", func(t *testing.T) {
		f := newZoneFixture(t, "q", zoneStep(1))
		f.place("a1")
		f.evacuate("a")
		a := f.step()
		assert.Len(t, a.Ends(), 1)
		assert.Equal(t, "b", f.ordered(5), "the task starts in the other zone")
	})
	t.Run("ordered and not listed", func(t *testing.T) {
		f := newZoneFixture(t, "q", zoneStep(1))
		f.place("a1")
		assert.Equal(t, "a", f.ordered(1))
		f.evacuate("a")
		assert.Equal(t, []string{"a1"}, f.stopped(1), "at once")
		assert.Equal(t, []string{"a1"}, f.stopped(8), "again while it is not answered")
		f.answerStop("a1")
		assert.Equal(t, "b", f.ordered(5))
	})
	t.Run("the agent opens another session", func(t *testing.T) {
		f := newZoneFixture(t, "q", zoneStep(1))
		f.place("a1")
		assert.Equal(t, "a", f.ordered(1))
		f.core.Connect("a1", 100)
		f.evacuate("a")
		for range 20 {
			a := f.step()
			for _, d := range a.Decisions() {
				assert.NotEqual(t, "start again", d.Kind(), "the lost order is not repeated")
			}
			assert.Empty(t, slices.DeleteFunc(a.Orders(), func(o dispatch.AddressedOrder) bool {
				_, ok := o.Order().(run.Start)
				return !ok
			}))
		}
	})
	t.Run("the order was about to be repeated", func(t *testing.T) {
		f := newZoneFixture(t, "q", zoneStep(1))
		f.place("a1")
		assert.Equal(t, "a", f.ordered(1))
		f.core.Connect("a1", 100)
		f.step()
		f.evacuate("a")
		assert.Empty(t, f.ordered(20))
		f.answerStop("a1")
		assert.Equal(t, "b", f.ordered(5))
	})
	t.Run("another leader", func(t *testing.T) {
		f := newZoneFixture(t, "q", zoneStep(2))
		f.place("a1", "a2")
		assert.Equal(t, "aa", f.ordered(1))
		f.begin("a1")
		f.evacuate("a")
		f.elect()
		assert.Empty(t, f.stopped(1), "the task at work stays")
		assert.Equal(t, "b", f.ordered(10), "the other one starts elsewhere, and is not ordered again")
		assert.Equal(t, []string{"a1", "b1"}, f.placed())
	})
	t.Run("taken back before the stop is answered", func(t *testing.T) {
		f := newZoneFixture(t, "q", zoneStep(1))
		f.place("a1")
		f.ordered(1)
		f.evacuate("a")
		assert.Equal(t, []string{"a1"}, f.stopped(1))
		f.apply(batch.NewReopenZone("a"))
		assert.Empty(t, f.ordered(10), "it may still be at work")
		f.answerStop("a1")
		assert.Len(t, f.ordered(5), 1)
	})
}

// Guards against work that is thrown away though it may end, and against a count of it that is wrong.
func TestRunsAtWorkInEvacuatedZone(t *testing.T) {
	f := newZoneFixture(t, "q", zoneStep(2))
	f.place("a1", "b1")
	f.begin("a1", "b1")
	f.step()
	assert.Zero(t, f.step().EvacuatedRuns())
	f.evacuate("a")
	assert.Equal(t, 1, f.step().EvacuatedRuns())
	assert.Empty(t, f.stopped(50))
	f.apply(batch.NewReopenZone("a"))
	assert.Zero(t, f.step().EvacuatedRuns())
}

// Guards against a gang of which a part waits in vain for the members in an evacuated zone.
func TestGangsAndEvacuatedZones(t *testing.T) {
	newGangOn := func(t *testing.T, agents ...string) *zoneFixture {
		f := newZoneFixture(t, "q", zoneStep(len(agents), batch.WithGang(true, false)))
		f.place(agents...)
		return f
	}
	newGang := func(t *testing.T) *zoneFixture { return newGangOn(t, "a1", "b1") }
	for name, agents := range map[string][]string{"first": {"a1", "b1"}, "last": {"b1", "a1"}} {
		t.Run("not ordered, "+name+" member in the zone", func(t *testing.T) {
			f := newGangOn(t, agents...)
			f.evacuate("a")
			a := f.step()
			assert.Len(t, a.Ends(), 2, "no member is ordered")
			assert.Equal(t, "bb", f.ordered(5))
		})
	}
	t.Run("half of it has begun", func(t *testing.T) {
		f := newGang(t)
		f.ordered(1)
		f.begin("b1")
		f.step()
		f.evacuate("a")
		assert.Equal(t, []string{"a1", "b1"}, f.stopped(1), "all members at once")
		f.answerStop("a1", "b1")
		assert.Equal(t, "bb", f.ordered(5))
	})
	t.Run("only the member in the other zone has not begun", func(t *testing.T) {
		f := newGang(t)
		f.ordered(1)
		f.begin("a1")
		f.step()
		f.evacuate("a")
		assert.Empty(t, f.stopped(5), "it needs no start in the zone")
	})
	t.Run("a lost order is not repeated after the stop", func(t *testing.T) {
		f := newGang(t)
		f.ordered(1)
		f.core.Connect("b1", 100)
		f.evacuate("a")
		assert.Equal(t, []string{"a1", "b1"}, f.stopped(1))
		f.apply(batch.NewReopenZone("a"))
		assert.Empty(t, f.ordered(10))
	})
	t.Run("at work", func(t *testing.T) {
		f := newGang(t)
		f.ordered(1)
		f.begin("a1", "b1")
		f.step()
		f.evacuate("a")
		assert.Empty(t, f.stopped(50))
	})
	t.Run("at work under another leader", func(t *testing.T) {
		f := newGang(t)
		f.ordered(1)
		f.begin("a1", "b1")
		f.evacuate("a")
		f.elect()
		assert.Empty(t, f.stopped(50))
	})
}

// Guards against maintenance that waits for the end of an evacuation.
func TestMaintenanceInEvacuatedZone(t *testing.T) {
	f := newZoneFixture(t, "q", zoneStep(1))
	f.evacuate("a")
	f.apply(batch.NewStartWave(batch.NewWave(1, []string{"m-a1"}, 1, f.now.Add(time.Minute))))
	assert.Equal(t, []string{"m-a1"}, takenDown(f.step()))
}

// Guards against work on a worker that is still slow after its start while another one is free, and against tasks that
// wait though only such a worker is free.
func TestWorkersThatStartSlowly(t *testing.T) {
	f := newZoneFixture(t, "q", zoneStep(3))
	f.slow["a1"], f.slow["a2"], f.slow["b1"] = time.Minute, time.Minute, time.Minute
	f.evacuate("a")
	f.step()
	first := f.placed()
	assert.Equal(t, []string{"b1", "b2"}, first, "both are used")
	g := newZoneFixture(t, "q", zoneStep(1))
	g.slow["a1"], g.slow["b1"], g.slow["b2"] = time.Minute, time.Minute, time.Minute
	g.step()
	assert.Equal(t, []string{"a2"}, g.placed())
}
