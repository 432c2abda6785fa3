package batch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/fuzzing"
)

// model holds a state that random commands change, and the expected values that check compares it with.
type model struct {
	state    batch.State
	decoder  *fakeDecoder
	newest   int64
	document string
	final    map[string]batch.JobState
	runs     map[batch.TaskID]int
	failed   map[batch.TaskID]int
	done     map[batch.TaskID]bool
	saved    map[batch.TaskID]string
	zones    map[string]time.Time // evacuated since
}

const modelJobs = 6

func newModel() *model {
	d := &fakeDecoder{declarations: map[string]batch.Declaration{}, specs: map[string]batch.Spec{}}
	return &model{
		state: batch.NewState(d), decoder: d, final: map[string]batch.JobState{},
		runs: map[batch.TaskID]int{}, failed: map[batch.TaskID]int{}, done: map[batch.TaskID]bool{},
		saved: map[batch.TaskID]string{}, zones: map[string]time.Time{},
	}
}

// declare applies a declaration of a random version; the documents of one version may differ.
func (m *model) declare(t *rapid.T) {
	version := int64(rapid.IntRange(1, 30).Draw(t, "version"))
	text := fmt.Sprintf("%d/%d", version, rapid.IntRange(0, 2).Draw(t, "variant"))
	queues := []batch.Queue{queue("q")}
	if rapid.Bool().Draw(t, "second queue") {
		queues = append(queues, queue("p"))
	}
	d, err := batch.NewDeclaration(version, queues, service(), nil)
	require.NoError(t, err)
	m.decoder.declarations[text] = d
	next, r := m.state.Apply(batch.NewDeclare([]byte(text)))
	m.state = next
	if version > m.newest {
		m.newest, m.document = version, text
	}
	require.Equal(t, m.newest, r.(batch.Declared).Version())
}

func (m *model) submit(t *rapid.T) {
	id := fmt.Sprintf("j%d", rapid.IntRange(0, modelJobs-1).Draw(t, "job"))
	if _, known := m.decoder.specs[id]; !known {
		first := step(rapid.IntRange(1, 3).Draw(t, "tasks"), batch.WithGang(rapid.Bool().Draw(t, "gang"), false))
		s, err := batch.NewSpec(id, "", first, step(2, batch.WithAfter(0)))
		require.NoError(t, err)
		if n := rapid.IntRange(1, 3).Draw(t, "occurrences"); n > 1 {
			s = s.WithSchedule(n, epoch, time.Second)
		}
		m.decoder.specs[id] = s
	}
	_, before := m.state.Job(id)
	next, r := m.state.Apply(batch.NewSubmit(id, []string{"q", "p"}[rapid.IntRange(0, 1).Draw(t, "queue")], "", nil, epoch))
	m.state = next
	if a, ok := r.(batch.Accepted); ok {
		require.Equal(t, before, a.Known())
	}
}

// draw returns a random task of a job, and false if the drawn job does not exist.
func (m *model) draw(t *rapid.T) (id batch.TaskID, j *batch.Job, ok bool) {
	j, ok = m.state.Job(fmt.Sprintf("j%d", rapid.IntRange(0, modelJobs-1).Draw(t, "job")))
	if !ok {
		return id, nil, false
	}
	n := rapid.IntRange(0, 1).Draw(t, "step")
	index := rapid.IntRange(0, j.Spec().Steps()[n].Count()-1).Draw(t, "task")
	occurrence := rapid.IntRange(0, j.Spec().Occurrences()-1).Draw(t, "occurrence")
	return batch.NewTaskID(j.Spec().ID(), occurrence, n, index), j, true
}

func (m *model) begin(t *rapid.T) {
	id, j, ok := m.draw(t)
	if !ok {
		return
	}
	old, _ := j.Task(id)
	run := max(old.Run()+rapid.IntRange(-1, 2).Draw(t, "run"), 1)
	next, r := m.state.Apply(batch.NewPlaceRuns(
		epoch, batch.NewGroup(id.StepKey(), batch.NewMember(id.Index(), run, worker)),
	))
	m.state = next
	if !r.(batch.RunsPlaced).Placed()[0] {
		return
	}
	require.Greater(t, run, m.runs[id], "run of %s", id)
	require.False(t, m.done[id], "%s began after it was done", id)
	require.Equal(t, batch.Waiting, old.Phase())
	m.runs[id] = run
}

func (m *model) end(t *rapid.T) {
	id, j, ok := m.draw(t)
	if !ok {
		return
	}
	old, _ := j.Task(id)
	run := max(old.Run()+rapid.IntRange(-1, 1).Draw(t, "run"), 1)
	outcome := []batch.RunOutcome{
		batch.Done, batch.Failed, batch.Stopped, batch.Lost,
	}[rapid.IntRange(0, 3).Draw(t, "outcome")]
	m.state, _ = m.state.Apply(batch.NewEndRuns(epoch, batch.NewEnd(id, run, outcome, "")))
	if old.Phase() != batch.Placed || old.Run() != run {
		after, _ := m.state.Job(id.Job())
		require.Same(t, j, after, "the end of another run changed %s", id)
	}
}

// save applies the checkpoint of a run that need not be the latest.
func (m *model) save(t *rapid.T) {
	id, j, ok := m.draw(t)
	if !ok {
		return
	}
	old, _ := j.Task(id)
	run := max(old.Run()+rapid.IntRange(-1, 1).Draw(t, "run"), 1)
	text := fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "checkpoint"))
	m.state, _ = m.state.Apply(batch.NewSaveCheckpoints(batch.NewRunCheckpoint(id, run, text)))
	if old.Phase() == batch.Placed && old.Run() == run && j.Active() {
		m.saved[m.sharedTask(j, id)] = text
	}
}

// crash records the crash of a worker under a run that need not be the latest.
func (m *model) crash(t *rapid.T) {
	id, j, ok := m.draw(t)
	if !ok {
		return
	}
	old, _ := j.Task(id)
	run := max(old.Run()+rapid.IntRange(-1, 1).Draw(t, "run"), 1)
	phase := []batch.CrashPhase{
		batch.CrashedAlone, batch.CrashedAmongOthers, batch.CrashedLater,
	}[rapid.IntRange(0, 2).Draw(t, "phase")]
	host := []string{"a", "b"}[rapid.IntRange(0, 1).Draw(t, "host")]
	m.state, _ = m.state.Apply(batch.NewRecordCrashes(epoch, batch.NewRunCrash(id, run, host, phase)))
	after, _ := m.state.Job(id.Job())
	if !j.Active() || run > old.Run() || run <= j.Crashes(id).Run() {
		require.Same(t, j, after, "a crash under another run changed %s", id)
		return
	}
	require.Equal(t, run, after.Crashes(id).Run())
	if !after.Active() {
		require.Equal(t, batch.JobFailed, after.State())
		require.GreaterOrEqual(t, after.Crashes(id).Crashes(), 3, "%s was given up", id)
	}
}

// evacuate orders the evacuation of a random zone, which may be evacuated already.
func (m *model) evacuate(t *rapid.T) {
	zone, at := zoneOf(t), epoch.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "hours"))*time.Hour)
	m.state, _ = evacuate(m.state, zone, "", at)
	if _, evacuated := m.zones[zone]; !evacuated {
		m.zones[zone] = at
	}
}

// reopen ends the evacuation of a random zone, which may not be evacuated.
func (m *model) reopen(t *rapid.T) {
	zone := zoneOf(t)
	m.state = reopen(m.state, zone)
	delete(m.zones, zone)
}

func zoneOf(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone") }

// checkZones compares the evacuated zones with the expected ones.
func (m *model) checkZones(t *rapid.T) {
	require.Len(t, m.state.Evacuations(), len(m.zones))
	for zone, since := range m.zones {
		e, evacuated := m.state.Evacuation(zone)
		require.True(t, evacuated, "zone %s", zone)
		require.Equal(t, since, e.Since(), "zone %s", zone)
	}
}

// sharedTask returns the task that holds the checkpoint of a task: in a gang the first.
func (m *model) sharedTask(j *batch.Job, id batch.TaskID) batch.TaskID {
	if j.Spec().Steps()[id.Step()].Gang() {
		return id.StepKey()
	}
	return id
}

// check compares the state with the expected values and checks that final states and done tasks stay so.
func (m *model) check(t *rapid.T) {
	require.Equal(t, m.newest, m.state.Declaration().Version())
	require.Equal(t, m.document, string(m.state.Document()))
	m.checkZones(t)
	for id, j := range m.state.Jobs().All() {
		if was, ended := m.final[id]; ended {
			require.Equal(t, was, j.State(), "job %s left its final state", id)
		}
		if !j.Active() {
			m.final[id] = j.State()
		}
		all := true
		for k := range j.Spec().Occurrences() {
			all = m.checkOccurrence(t, j, k) && all
		}
		if j.State() == batch.Completed {
			require.True(t, all, "job %s is completed although a task is not done", id)
		}
	}
}

// checkOccurrence compares the tasks of an occurrence with the expected values and reports whether all are done.
func (m *model) checkOccurrence(t *rapid.T, j *batch.Job, occurrence int) (done bool) {
	done = true
	var tasks []batch.TaskID
	for n, s := range j.Spec().Steps() {
		for i := range s.Count() {
			task := batch.NewTaskID(j.Spec().ID(), occurrence, n, i)
			progress, _ := j.Task(task)
			require.False(t, m.done[task] && progress.Phase() != batch.Ended, "%s is no longer done", task)
			m.done[task] = progress.Phase() == batch.Ended
			tasks, done = append(tasks, task), done && m.done[task]
		}
	}
	for _, task := range tasks {
		if done && j.Spec().Occurrences() > 1 {
			// A job with a schedule forgets the checkpoints of an occurrence that is done.
			delete(m.saved, task)
		}
		require.Equal(t, m.saved[m.sharedTask(j, task)], j.Checkpoint(task), "checkpoint of %s", task)
	}
	return done
}

// TestStateFuzz guards against an older declaration that replaces a newer one, a job that leaves its final state, a
// task that is placed after it was done or under a used run number, a checkpoint that is replaced by that of another
// run, an end or a crash that is recorded for another run, a job that is given up before three workers crashed, and a zone
// that is evacuated without an order, or is not after one.
func TestStateFuzz(t *testing.T) {
	steps := fuzzing.NewCounter(t)
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(steps.CountActions(map[string]func(*rapid.T){
			"declare":        m.declare,
			"submit":         m.submit,
			"begin":          m.begin,
			"end":            m.end,
			"save":           m.save,
			"crash":          m.crash,
			"zone evacuated": m.evacuate,
			"zone reopened":  m.reopen,
			"cancel": func(t *rapid.T) {
				id := fmt.Sprintf("j%d", rapid.IntRange(0, 4*modelJobs).Draw(t, "job"))
				m.state, _ = m.state.Apply(batch.NewCancel(id, epoch))
			},
			"prune": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "whether") == 0 {
					m.prune()
				}
			},
			"": m.check,
		}))
	})
}

// prune deletes the ended jobs; later submissions may use their ids for other jobs.
func (m *model) prune() {
	m.state, _ = m.state.Apply(batch.NewPruneJobs(epoch.Add(time.Hour)))
	for id := range m.final {
		if _, known := m.state.Job(id); known {
			continue
		}
		delete(m.final, id)
		for task := range m.runs {
			if task.Job() == id {
				delete(m.runs, task)
			}
		}
		for task := range m.done {
			if task.Job() == id {
				delete(m.done, task)
			}
		}
		for task := range m.saved {
			if task.Job() == id {
				delete(m.saved, task)
			}
		}
	}
}
