package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

var crashed = batch.NewIncarnation("h", "w", 1)

func crashedRun(job string, index int, age time.Duration) run.CrashedRun {
	return run.NewCrashedRun(run.NewID(batch.NewTaskID(job, 0, 0, index), 1), age)
}

// assertPhases checks the phase that each run has at a crash; an empty phase means that the crash is not counted for it.
func assertPhases(t *testing.T, runs []run.CrashedRun, want ...batch.CrashPhase) {
	t.Helper()
	phases := map[run.ID]batch.CrashPhase{}
	for _, c := range runCrashes(run.NewCrash(crashed, runs...)) {
		assert.Equal(t, "h", c.Host())
		phases[run.NewID(c.Task(), c.Run())] = c.Phase()
	}
	for i, r := range runs {
		assert.Equal(t, want[i], phases[r.ID()], "run %d", i)
	}
}

// Guards against a crash that is counted for a task that only ran on the same worker.
func TestRunCrashes(t *testing.T) {
	const soon, later = 10 * time.Millisecond, placement.StartupTime + time.Millisecond
	for name, c := range map[string]struct {
		runs []run.CrashedRun
		want []batch.CrashPhase
	}{
		"started alone":                 {[]run.CrashedRun{crashedRun("a", 0, soon)}, []batch.CrashPhase{batch.CrashedAlone}},
		"beside runs that were at work": {[]run.CrashedRun{crashedRun("a", 0, soon), crashedRun("b", 0, later)}, []batch.CrashPhase{batch.CrashedAlone, ""}},
		"started beside another job":    {[]run.CrashedRun{crashedRun("a", 0, soon), crashedRun("b", 0, soon)}, []batch.CrashPhase{batch.CrashedAmongOthers, batch.CrashedAmongOthers}},
		"several tasks of one job":      {[]run.CrashedRun{crashedRun("a", 0, soon), crashedRun("a", 1, soon)}, []batch.CrashPhase{batch.CrashedAlone, batch.CrashedAlone}},
		"nothing started lately":        {[]run.CrashedRun{crashedRun("a", 0, later), crashedRun("b", 0, later)}, []batch.CrashPhase{batch.CrashedLater, batch.CrashedLater}},
	} {
		t.Run(name, func(t *testing.T) { assertPhases(t, c.runs, c.want...) })
	}
}

// oneTaskDecoder returns a declaration with one queue and a job of one task.
type oneTaskDecoder struct{ declaration batch.Declaration }

func (d oneTaskDecoder) Declaration([]byte) (batch.Declaration, error) { return d.declaration, nil }

func (oneTaskDecoder) Spec(id string, _ []byte) (batch.Spec, error) {
	return batch.NewSpec(id, "", batch.NewStep(1, batch.NewResources(1, 1, 1), time.Second))
}

// crashFixture is a leader with the replicated state and a task that crashes each worker that starts it.
type crashFixture struct {
	t       *testing.T
	core    *Core
	state   batch.State
	now     time.Time
	term    uint64
	starts  int
	workers map[string]batch.Incarnation // by agent
	reports map[string][]run.Crash       // that each agent reports in a new session
}

func newCrashFixture(t *testing.T, hosts ...string) *crashFixture {
	t.Helper()
	d, err := batch.NewDeclaration(1, []batch.Queue{
		batch.NewQueue("q", "h", "/q/", "s").WithPolicy(1, 3).WithObjective(3, time.Second, time.Second),
	}, []batch.Service{batch.NewService("s", false, false)}, nil)
	require.NoError(t, err)
	f := &crashFixture{t: t, now: start, workers: map[string]batch.Incarnation{}, reports: map[string][]run.Crash{}}
	f.state, _ = batch.NewState(oneTaskDecoder{d}).Apply(batch.NewDeclare(nil))
	f.state, _ = f.state.Apply(batch.NewSubmit("j", "q", "", nil, start))
	for _, h := range hosts {
		f.workers[h] = batch.NewIncarnation(h, h+"-1", 1)
	}
	f.elect()
	return f
}

// elect replaces the leader; each agent opens a session and reports its worker and the crashes that it has seen.
func (f *crashFixture) elect() {
	f.term++
	f.core = NewCore(DefaultTiming(), f.term, f.now)
	for agent := range f.workers {
		f.core.Connect(agent, f.term)
		f.report(agent)
	}
}

func (f *crashFixture) report(agent string) {
	w, clock := f.workers[agent], f.now.Sub(start)+time.Millisecond
	a := run.NewAnnouncement(w, "s", "z", f.now.UnixMilli()).WithCapacity(batch.NewResources(8, 8, 8)).WithClock(clock)
	f.core.Report(f.now, run.NewReport(agent).WithAnnouncement(a).WithCrashes(f.reports[agent]).
		WithList(run.NewList(w, f.term, clock, nil, nil, nil)))
}

// pass lets time pass. Each start crashes its worker, which is back at once with another id.
func (f *crashFixture) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickTime)
		for agent := range f.workers {
			f.report(agent)
		}
		a := f.core.Step(f.now, f.state)
		f.apply(batch.NewRecordCrashes(f.now, a.Crashes()...))
		f.apply(batch.NewEndRuns(f.now, a.Ends()...))
		r := f.apply(batch.NewPlaceRuns(f.now, a.Groups()...)).(batch.RunsPlaced)
		for i, placed := range r.Placed() {
			if placed {
				f.core.RunsCommitted(a.Groups()[i])
			}
		}
		for _, o := range a.Orders() {
			if s, ok := o.Order().(run.Start); ok {
				f.crash(o.Agent(), s.ID())
			}
		}
	}
}

const tickTime = 100 * time.Millisecond

func (f *crashFixture) crash(agent string, id run.ID) {
	f.starts++
	old := f.workers[agent]
	f.reports[agent] = append(f.reports[agent], run.NewCrash(old, run.NewCrashedRun(id, 10*time.Millisecond)))
	f.workers[agent] = batch.NewIncarnation(agent, agent+"-"+f.now.String(), old.StartUnixMS()+1)
}

func (f *crashFixture) apply(c batch.Command) batch.Result {
	var r batch.Result
	f.state, r = f.state.Apply(c)
	return r
}

// assertGivenUp checks that the job has failed after the given number of starts and that no more follow.
func (f *crashFixture) assertGivenUp(starts int) {
	f.t.Helper()
	f.pass(10 * time.Second)
	j, _ := f.state.Job("j")
	assert.Equal(f.t, batch.JobFailed, j.State())
	assert.Equal(f.t, starts, f.starts)
}

// Guards against a task that crashes worker after worker, since the end of a run by a crash counted as no attempt.
func TestCrashingTaskStops(t *testing.T) {
	t.Run("on several hosts", func(t *testing.T) {
		newCrashFixture(t, "a", "b", "c").assertGivenUp(3)
	})
	t.Run("on the only host", func(t *testing.T) {
		newCrashFixture(t, "a").assertGivenUp(4)
	})
	t.Run("when each crash is reported to another leader", func(t *testing.T) {
		f := newCrashFixture(t, "a", "b", "c")
		for range 40 {
			f.pass(tickTime)
			f.elect()
		}
		f.assertGivenUp(3)
	})
}
