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
	tick     = 100 * time.Millisecond
	machines = 4
	attempts = 3
)

var epoch = time.Unix(1_800_000_000, 0)

// specs is a decoder whose documents are kept beside it.
type specs struct {
	declaration batch.Declaration
	specs       map[string]batch.Spec
}

func (s *specs) Declaration([]byte) (batch.Declaration, error) { return s.declaration, nil }

func (s *specs) Spec(id string, _ []byte) (batch.Spec, error) { return s.specs[id], nil }

// world is a leader, its replicated state, and workers; it checks the promises as it goes.
type world struct {
	t        *rapid.T
	now      time.Time
	ticks    int
	births   int64
	sessions uint64
	work     time.Duration
	lateness time.Duration
	term     uint64
	leads    bool
	unknown  bool // the next commit of starts is not heard of
	core     *dispatch.Core
	state    batch.State
	decoder  *specs
	machines []*machine
	runs     map[run.ID]int
	done     map[batch.TaskID]bool
	made     map[batch.TaskID]map[string]bool // the checkpoints that the runs of a task, or of a gang, have made
	kept     map[batch.TaskID]bool            // whether one of them was committed
}

func newWorld(t *rapid.T) *world {
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, attempts).WithObjective(3, time.Second, time.Second),
		batch.NewQueue("u", "h", "/u/", "s").WithPolicy(0, attempts).WithObjective(3, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, []batch.Workspace{batch.NewWorkspace("a", 4, "k")})
	require.NoError(t, err)
	w := &world{
		t: t, now: epoch, work: 2 * time.Second, lateness: 3 * time.Second,
		decoder: &specs{declaration: d, specs: map[string]batch.Spec{}},
		runs:    map[run.ID]int{}, done: map[batch.TaskID]bool{},
		made: map[batch.TaskID]map[string]bool{}, kept: map[batch.TaskID]bool{},
	}
	w.state, _ = batch.NewState(w.decoder).Apply(batch.NewDeclare(nil))
	for i := range machines {
		w.machines = append(w.machines, newMachine(w, fmt.Sprintf("h%d", i), []float64{1, 0.98, 1.01, 0.985}[i%4]))
	}
	w.elect()
	return w
}

// elect begins a term with a new leader.
func (w *world) elect() {
	w.term++
	w.leads = true
	w.core = dispatch.NewCore(dispatch.DefaultTiming(), w.term, w.now)
	for _, m := range w.machines {
		m.connected = false
	}
}

// connect opens the sessions that can be.
func (w *world) connect() {
	for _, m := range w.machines {
		up := w.leads && !m.cut
		switch {
		case up && !m.connected:
			w.sessions++
			m.session, m.connected = w.sessions, true
			w.core.Connect(m.name, m.session)
		case !up && m.connected:
			m.connected = false
			w.core.Disconnect(m.name, m.session)
		}
	}
}

// advance lets time pass, and the leader decide at each tick.
func (w *world) advance(d time.Duration) {
	for range int(d / tick) {
		w.now = w.now.Add(tick)
		w.ticks++
		w.connect()
		for _, m := range w.machines {
			m.tick()
		}
		if w.leads {
			w.step()
		}
		w.check()
	}
}

func (w *world) step() {
	a := w.core.Step(w.now, w.state)
	for _, o := range a.Orders() {
		m := w.machines[slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == o.Agent() })]
		if m.connected {
			m.order(run.NewEnvelope(w.term, o.Order()))
		}
	}
	if len(a.Ends()) > 0 {
		w.apply(batch.NewEndRuns(w.now, a.Ends()...))
	}
	if len(a.Marks()) > 0 {
		w.apply(batch.NewSaveCheckpoints(a.Marks()...))
	}
	for _, m := range a.Marks() {
		w.kept[w.sharing(m.Task())] = true
	}
	if len(a.Groups()) > 0 {
		begun, ok := w.apply(batch.NewPlaceRuns(w.now, a.Groups()...)).(batch.RunsPlaced)
		require.True(w.t, ok)
		for i, placed := range begun.Placed() {
			if placed && !w.unknown {
				w.core.Begun(a.Groups()[i])
			}
		}
		w.unknown = false
	}
}

func (w *world) apply(c batch.Command) batch.Result {
	var r batch.Result
	w.state, r = w.state.Apply(c)
	return r
}

func (w *world) submit(t *rapid.T) {
	id := fmt.Sprintf("j%d", w.state.Jobs().Len())
	count := rapid.IntRange(1, 4).Draw(t, "tasks")
	step := batch.NewStep(count, batch.NewResources(100, 100, rapid.IntRange(1, capacity).Draw(t, "accelerators")), time.Second,
		batch.WithGang(rapid.Bool().Draw(t, "gang"), false))
	s, err := batch.NewSpec(id, "", step)
	require.NoError(t, err)
	w.decoder.specs[id] = s
	w.apply(batch.NewSubmit(id, []string{"q", "u"}[rapid.IntRange(0, 1).Draw(t, "queue")], "a", nil, w.now))
}

// members returns the runs that work only together with a run, itself among them.
func (w *world) members(id run.ID) (members []run.ID) {
	j, _ := w.state.Job(id.Task().Job())
	step := j.Spec().Steps()[0]
	if !step.Gang() {
		return []run.ID{id}
	}
	for n := range step.Count() {
		members = append(members, run.NewID(batch.NewTaskID(id.Task().Job(), 0, 0, n), id.Run()))
	}
	return members
}

// sharing returns the task whose checkpoint a task resumes from: for a gang that of its first.
func (w *world) sharing(id batch.TaskID) batch.TaskID {
	if j, _ := w.state.Job(id.Job()); j.Spec().Steps()[0].Gang() {
		return id.StepKey()
	}
	return id
}

// checkpoint returns what a run that is so far has saved: nothing at first, then a text each tenth.
func (w *world) checkpoint(id run.ID, percent int) string {
	if percent < 10 {
		return ""
	}
	task := w.sharing(id.Task())
	text := fmt.Sprintf("%s/%d/%d", task, id.Run(), percent/10)
	if w.made[task] == nil {
		w.made[task] = map[string]bool{}
	}
	w.made[task][text] = true
	return text
}

// at returns the machine that has a run, or nil.
func (w *world) at(id run.ID) *machine {
	for _, m := range w.machines {
		if _, runs := m.running[id]; runs {
			return m
		}
	}
	return nil
}

// whole reports whether all that work only together with a run are running.
func (w *world) whole(id run.ID) bool {
	return !slices.ContainsFunc(w.members(id), func(o run.ID) bool { return w.at(o) == nil })
}

// finish ends a run, and all that work together with it, as done.
func (w *world) finish(id run.ID) {
	for _, o := range w.members(id) {
		w.at(o).end(o, batch.Done)
	}
}

// started notes a start, and checks that it may happen.
func (w *world) started(m *machine, o run.Start) {
	id, from := o.ID(), w.sharing(o.ID().Task())
	w.runs[id]++
	require.True(w.t, o.Checkpoint() == "" || w.made[from][o.Checkpoint()], "%s resumes from %q", id.Task(), o.Checkpoint())
	require.False(w.t, o.Checkpoint() == "" && w.kept[from] && !m.late, "%s begins anew despite its checkpoint", id.Task())
	require.Equal(w.t, 1, w.runs[id], "run %d of %s started again", id.Run(), id.Task())
	require.False(w.t, w.done[id.Task()], "%s started after it was done", id.Task())
	for _, o := range w.machines {
		for other := range o.running {
			require.False(w.t, o != m && other.Task() == id.Task(), "%s runs on %s and %s", id.Task(), o.name, m.name)
		}
	}
}

// check compares what workers do with what they may.
func (w *world) check() {
	for _, m := range w.machines {
		used := 0
		for id := range m.running {
			j, known := w.state.Job(id.Task().Job())
			require.True(w.t, known)
			used += j.Spec().Steps()[0].Resources().Accelerators()
		}
		require.LessOrEqual(w.t, used, capacity, "accelerators in use on %s", m.name)
	}
	for _, j := range w.state.Jobs().All() {
		for n, t := range j.Tasks(0, 0) {
			if t.Phase() == batch.Ended {
				w.done[batch.NewTaskID(j.Spec().ID(), 0, 0, n)] = true
			}
		}
	}
}

func (w *world) pick(t *rapid.T) *machine {
	return w.machines[rapid.IntRange(0, len(w.machines)-1).Draw(t, "machine")]
}

// settle ends all troubles, and checks that every job ends.
func (w *world) settle() {
	for _, m := range w.machines {
		m.cut, m.late = false, false
		if m.draining {
			m.crash(false)
		}
	}
	if !w.leads {
		w.elect()
	}
	for range 60 {
		w.advance(5 * time.Second)
		if w.quiet() {
			return
		}
	}
	for id, j := range w.state.Jobs().All() {
		require.False(w.t, j.Active(), "job %s is %s: %+v", id, j.State(), j.Tasks(0, 0))
	}
}

func (w *world) quiet() bool {
	for _, j := range w.state.Jobs().All() {
		if j.Active() {
			return false
		}
	}
	return true
}

// TestRunsFuzz guards against a task that runs twice at once or after its end, a worker with more than it can hold, and
// a job that never ends or resumes from what is not its own, and one that begins anew although its checkpoint was
// committed, under lost, late and doubled orders, workers that are cut off, born anew or leave, leaders that
// are replaced, and commits that are not heard of.
func TestRunsFuzz(t *testing.T) {
	steps := fuzzing.NewCounter(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.advance(2 * time.Second)
		t.Repeat(steps.Actions(map[string]func(*rapid.T){
			"pass":    func(t *rapid.T) { w.advance(tick * time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks"))) },
			"outlast": func(*rapid.T) { w.advance(6 * time.Second) },
			"submit":  w.submit,
			"cancel": func(t *rapid.T) {
				w.apply(batch.NewCancel(fmt.Sprintf("j%d", rapid.IntRange(0, w.state.Jobs().Len()).Draw(t, "job")), w.now))
			},
			"cut":     func(t *rapid.T) { w.pick(t).cut = true },
			"heal":    func(t *rapid.T) { w.pick(t).cut = false },
			"late":    func(t *rapid.T) { w.pick(t).late = true },
			"prompt":  func(t *rapid.T) { w.pick(t).late = false },
			"crash":   func(t *rapid.T) { w.pick(t).crash(rapid.Bool().Draw(t, "same id")) },
			"drain":   func(t *rapid.T) { w.pick(t).draining = true },
			"depose":  func(*rapid.T) { w.leads = false },
			"elect":   func(*rapid.T) { w.elect() },
			"unknown": func(*rapid.T) { w.unknown = true },
			"":        func(*rapid.T) { w.advance(2 * tick) },
		}))
		w.settle()
	})
}
