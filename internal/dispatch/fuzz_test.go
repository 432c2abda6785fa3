package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
	"rosemarywind.example/rosemarywind/internal/fuzzing"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	tick        = 100 * time.Millisecond
	workerCount = 4
	attempts    = 3
)

var epoch = time.Unix(1_800_000_000, 0)

// stubDecoder returns a prepared declaration and, by job ID, prepared specs, whatever the document holds.
type stubDecoder struct {
	declaration batch.Declaration
	byJob       map[string]batch.Spec
}

func (s *stubDecoder) Declaration([]byte) (batch.Declaration, error) { return s.declaration, nil }

func (s *stubDecoder) Spec(id string, _ []byte) (batch.Spec, error) { return s.byJob[id], nil }

// simulation runs a leader, its replicated state and its workers, and checks the invariants at each tick.
type simulation struct {
	t            *rapid.T
	now          time.Time
	ticks        int
	incarnations int64
	lastSession  uint64
	runDuration  time.Duration // how long the work of a run takes
	callDelay    time.Duration // how much later a late worker carries out a call
	term         uint64
	leading      bool
	loseResult   bool // the leader does not learn the result of the next commit of starts
	core         *dispatch.Core
	state        batch.State
	decoder      *stubDecoder
	workers      []*worker
	starts       map[run.ID]int
	ended        map[batch.TaskID]bool            // the tasks in phase Ended, whatever their outcome
	noted        map[batch.TaskID]bool            // the tasks of which an end Done was acknowledged to the worker
	saved        map[batch.TaskID]map[string]bool // the checkpoints made by the runs of a task or gang
	committed    map[batch.TaskID]bool            // whether a checkpoint of the task or gang was committed
	zoneChanged  map[string]time.Time             // when the latest order about a zone was applied
}

func newSimulation(t *rapid.T) *simulation {
	// The queues differ in priority: q has 1, and u, for urgent jobs, has 0, the highest.
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, attempts).WithObjective(3, time.Second, time.Second),
		batch.NewQueue("u", "h", "/u/", "s").WithPolicy(0, attempts).WithObjective(3, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, []batch.Workspace{batch.NewWorkspace("a", 4, "k")})
	require.NoError(t, err)
	s := &simulation{
		t: t, now: epoch, runDuration: 2 * time.Second, callDelay: 3 * time.Second,
		decoder: &stubDecoder{declaration: d, byJob: map[string]batch.Spec{}},
		starts:  map[run.ID]int{}, ended: map[batch.TaskID]bool{}, noted: map[batch.TaskID]bool{},
		saved: map[batch.TaskID]map[string]bool{}, committed: map[batch.TaskID]bool{}, zoneChanged: map[string]time.Time{},
	}
	s.state, _ = batch.NewState(s.decoder).Apply(batch.NewDeclare(nil))
	for i := range workerCount {
		// The clocks differ in rate; the leader computes leases for clocks no slower than 0.98.
		s.workers = append(s.workers, newWorker(s, fmt.Sprintf("h%d", i), []float64{1, 0.98, 1.01, 0.985}[i%4]))
	}
	s.elect()
	return s
}

// elect starts a new term with a new leader.
func (s *simulation) elect() {
	s.term++
	s.leading = true
	s.core = dispatch.NewCore(dispatch.DefaultTiming(), s.term, s.now)
	for _, w := range s.workers {
		w.connected = false
	}
}

// connect opens and closes sessions as reachability changes.
func (s *simulation) connect() {
	for _, w := range s.workers {
		up := s.leading && w.reachesLeader()
		switch {
		case up && !w.connected:
			s.lastSession++
			w.session, w.connected = s.lastSession, true
			s.core.Connect(w.name, w.session)
		case !up && w.connected:
			w.connected = false
			s.core.Disconnect(w.name, w.session)
		}
	}
}

// advance moves the clock forward by d, with a step of the leader at each tick.
func (s *simulation) advance(d time.Duration) {
	for range int(d / tick) {
		s.now = s.now.Add(tick)
		s.ticks++
		s.connect()
		for _, w := range s.workers {
			w.tick()
		}
		if s.leading {
			s.step()
		}
		s.check()
	}
}

func (s *simulation) step() {
	a := s.core.Step(s.now, s.state)
	for _, o := range a.Orders() {
		w := s.workers[slices.IndexFunc(s.workers, func(w *worker) bool { return w.name == o.Agent() })]
		if w.connected {
			w.order(run.NewEnvelope(s.term, o.Order()))
		}
	}
	if len(a.Crashes()) > 0 {
		s.apply(batch.NewRecordCrashes(s.now, a.Crashes()...))
	}
	if len(a.Ends()) > 0 {
		s.apply(batch.NewEndRuns(s.now, a.Ends()...))
	}
	if len(a.Checkpoints()) > 0 {
		s.apply(batch.NewSaveCheckpoints(a.Checkpoints()...))
	}
	for _, c := range a.Checkpoints() {
		s.committed[s.checkpointOwner(c.Task())] = true
	}
	if len(a.Groups()) > 0 {
		result, ok := s.apply(batch.NewPlaceRuns(s.now, a.Groups()...)).(batch.RunsPlaced)
		require.True(s.t, ok)
		for i, placed := range result.Placed() {
			if placed && !s.loseResult {
				s.core.RunsCommitted(a.Groups()[i])
			}
		}
		s.loseResult = false
	}
}

func (s *simulation) apply(c batch.Command) batch.Result {
	var r batch.Result
	s.state, r = s.state.Apply(c)
	return r
}

func (s *simulation) submit(t *rapid.T) {
	id := fmt.Sprintf("j%d", s.state.Jobs().Len())
	count := rapid.IntRange(1, 4).Draw(t, "tasks")
	step := batch.NewStep(count, batch.NewResources(100, 100, rapid.IntRange(1, capacity).Draw(t, "accelerators")), time.Second,
		batch.WithGang(rapid.Bool().Draw(t, "gang"), false))
	spec, err := batch.NewSpec(id, "", step)
	require.NoError(t, err)
	s.decoder.byJob[id] = spec
	s.apply(batch.NewSubmit(id, []string{"q", "u"}[rapid.IntRange(0, 1).Draw(t, "queue")], "a", nil, s.now))
}

// zones are the availability zones of the workers.
var zones = []string{"z0", "z1"}

// gangOf returns all runs of the run's gang, or only the run itself if its step is not a gang.
func (s *simulation) gangOf(id run.ID) (members []run.ID) {
	j, _ := s.state.Job(id.Task().Job())
	step := j.Spec().Steps()[0]
	if !step.Gang() {
		return []run.ID{id}
	}
	for n := range step.Count() {
		members = append(members, run.NewID(batch.NewTaskID(id.Task().Job(), 0, 0, n), id.Run()))
	}
	return members
}

// checkpointOwner returns the task under which a checkpoint is kept: the first of the gang, or the task itself.
func (s *simulation) checkpointOwner(id batch.TaskID) batch.TaskID {
	if j, _ := s.state.Job(id.Job()); j.Spec().Steps()[0].Gang() {
		return id.StepKey()
	}
	return id
}

// checkpoint returns the checkpoint of a run at the given progress: none below 10 percent, then a new one every 10
// percent.
func (s *simulation) checkpoint(id run.ID, percent int) string {
	if percent < 10 {
		return ""
	}
	task := s.checkpointOwner(id.Task())
	text := fmt.Sprintf("%s/%d/%d", task, id.Run(), percent/10)
	if s.saved[task] == nil {
		s.saved[task] = map[string]bool{}
	}
	s.saved[task][text] = true
	return text
}

// workerOf returns the worker that has a run, or nil.
func (s *simulation) workerOf(id run.ID) *worker {
	for _, w := range s.workers {
		if _, runs := w.running[id]; runs {
			return w
		}
	}
	return nil
}

// gangRunning reports whether all members of a run's gang are running.
func (s *simulation) gangRunning(id run.ID) bool {
	return !slices.ContainsFunc(s.gangOf(id), func(member run.ID) bool { return s.workerOf(member) == nil })
}

// finish ends a run and the other members of its gang as done.
func (s *simulation) finish(id run.ID) {
	for _, member := range s.gangOf(id) {
		s.workerOf(member).end(member, batch.Done)
	}
}

// acknowledged records that the end of a run was acknowledged to the worker. The end of a run whose lease has ended
// since does not count, since the run may have been given up by then.
func (s *simulation) acknowledged(e batch.End, lapsed bool) {
	if e.Outcome() == batch.Done && !lapsed {
		s.noted[e.Task()] = true
	}
}

// evacuate orders the evacuation of a zone, or takes it back.
func (s *simulation) evacuate(zone string, evacuated bool) {
	if _, before := s.state.Evacuation(zone); before == evacuated {
		return
	}
	s.zoneChanged[zone] = s.now
	if evacuated {
		s.apply(batch.NewEvacuateZone(batch.NewEvacuation(zone, "", s.now)))
		return
	}
	s.apply(batch.NewReopenZone(zone))
}

// maxLateStart is how long after the evacuation of its zone a worker may carry out an order that was under way: the lease
// in the order has ended by then, also on a clock at the rate 0.98.
const maxLateStart = 5200 * time.Millisecond

// checkZone checks that a start is not in an evacuated zone. The worker may have had the order before, and carries it out
// later if its calls are late.
func (s *simulation) checkZone(w *worker, id run.ID, prompt bool) {
	if _, evacuated := s.state.Evacuation(w.zone); !evacuated {
		return
	}
	allowed := maxLateStart
	if prompt {
		allowed = tick
	}
	require.LessOrEqual(s.t, s.now.Sub(s.zoneChanged[w.zone]), allowed, "%s started on %s in evacuated zone %s", id.Task(), w.name, w.zone)
}

// checkStart records a start and checks that it is permitted; committed reports whether a checkpoint of the run was
// committed when the start was ordered.
func (s *simulation) checkStart(w *worker, o run.Start, committed bool) {
	id, from := o.ID(), s.checkpointOwner(o.ID().Task())
	s.starts[id]++
	require.True(s.t, o.Checkpoint() == "" || s.saved[from][o.Checkpoint()], "%s resumes from %q", id.Task(), o.Checkpoint())
	require.False(s.t, o.Checkpoint() == "" && committed, "%s restarts without its committed checkpoint", id.Task())
	require.Equal(s.t, 1, s.starts[id], "run %d of %s started again", id.Run(), id.Task())
	require.False(s.t, s.ended[id.Task()], "%s started after it was done", id.Task())
	require.False(s.t, s.noted[id.Task()], "%s started after its end was acknowledged", id.Task())
	for _, other := range s.workers {
		for running := range other.running {
			require.False(s.t, other != w && running.Task() == id.Task(), "%s runs on %s and %s", id.Task(), other.name, w.name)
		}
	}
}

// check verifies that no worker exceeds its capacity, and records the tasks that have ended.
func (s *simulation) check() {
	for _, w := range s.workers {
		used := 0
		for id := range w.running {
			j, known := s.state.Job(id.Task().Job())
			require.True(s.t, known)
			used += j.Spec().Steps()[0].Resources().Accelerators()
		}
		require.LessOrEqual(s.t, used, capacity, "accelerators in use on %s", w.name)
	}
	for _, j := range s.state.Jobs().All() {
		for n, t := range j.Tasks(0, 0).All() {
			if t.Phase() == batch.Ended {
				s.ended[batch.NewTaskID(j.Spec().ID(), 0, 0, n)] = true
			}
		}
	}
}

func (s *simulation) pick(t *rapid.T) *worker {
	return s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(t, "machine")]
}

// recoverAll ends all faults and checks that every job ends.
func (s *simulation) recoverAll() {
	for _, w := range s.workers {
		w.cut, w.late = false, false
		w.thaw()
		if w.draining {
			w.crash(false)
		}
	}
	for _, zone := range zones {
		s.evacuate(zone, false)
	}
	if !s.leading {
		s.elect()
	}
	for range 60 {
		s.advance(5 * time.Second)
		if s.idle() {
			return
		}
	}
	for id, j := range s.state.Jobs().All() {
		require.False(s.t, j.Active(), "job %s is %s: %+v", id, j.State(), j.Tasks(0, 0))
	}
}

func (s *simulation) idle() bool {
	for _, j := range s.state.Jobs().All() {
		if j.Active() {
			return false
		}
	}
	return true
}

// TestRunsFuzz guards against a task that runs twice at once or again after its end, a worker beyond its capacity, a
// job that never ends, a start in an evacuated zone, a run that resumes from the checkpoint of another task, and one that restarts without its
// committed checkpoint. The faults are lost, late and repeated orders, workers that are cut off, restart or leave, agents that are paused,
// leaders that are replaced, and commits whose result the leader does not learn.
func TestRunsFuzz(t *testing.T) {
	steps := fuzzing.NewCounter(t)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		// A short run can end on a new incarnation of its worker before that incarnation is announced.
		s.runDuration = rapid.SampledFrom([]time.Duration{2 * time.Second, 200 * time.Millisecond}).Draw(t, "run duration")
		s.advance(2 * time.Second)
		// rapid sorts the actions by name, so another name changes what a seed does.
		t.Repeat(steps.CountActions(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { s.advance(tick * time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks"))) },
			// Outlasts the lease of 5 s that the leader grants, and the delay of a late call.
			"outlast": func(*rapid.T) { s.advance(6 * time.Second) },
			"submit":  s.submit,
			"cancel": func(t *rapid.T) {
				s.apply(batch.NewCancel(fmt.Sprintf("j%d", rapid.IntRange(0, s.state.Jobs().Len()).Draw(t, "job")), s.now))
			},
			// Cuts a worker's agent off from the leader, until heal.
			"cut":  func(t *rapid.T) { s.pick(t).cut = true },
			"heal": func(t *rapid.T) { s.pick(t).cut = false },
			// Pauses an agent, until thaw.
			"freeze": func(t *rapid.T) { s.pick(t).freeze() },
			"thaw":   func(t *rapid.T) { s.pick(t).thaw() },
			// Delays the calls to a worker and loses their answers, until prompt.
			"late":   func(t *rapid.T) { s.pick(t).late = true },
			"prompt": func(t *rapid.T) { s.pick(t).late = false },
			// Restarts a worker, with the same ID or a new one.
			"crash": func(t *rapid.T) { s.pick(t).crash(rapid.Bool().Draw(t, "same id")) },
			"drain": func(t *rapid.T) { s.pick(t).draining = true },
			// Leaves the simulation without a leader, until elect.
			"depose": func(*rapid.T) { s.leading = false },
			"elect":  func(*rapid.T) { s.elect() },
			// Loses the result of the next commit of starts.
			"unknown":        func(*rapid.T) { s.loseResult = true },
			"zone evacuated": func(t *rapid.T) { s.evacuate(rapid.SampledFrom(zones).Draw(t, "zone"), true) },
			"zone reopened":  func(t *rapid.T) { s.evacuate(rapid.SampledFrom(zones).Draw(t, "zone"), false) },
			// rapid runs this before the first action and after each one.
			"": func(*rapid.T) { s.advance(2 * tick) },
		}))
		s.recoverAll()
	})
}
