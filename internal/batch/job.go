package batch

import (
	"slices"
	"time"
)

// JobState is the state of a job as reported to callers.
type JobState string

// The states of a job; the last three are final.
const (
	Queued       JobState = "queued"
	Running      JobState = "running"
	Completed    JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Job is an accepted job and its progress; it is immutable.
type Job struct {
	spec      Spec
	document  []byte
	queue     Queue
	workspace string
	accepted  time.Time
	result    JobState // empty until the job ends
	ended     time.Time
	started   bool
	next      int                    // the first occurrence of which no task has been placed
	open      []occurrence           // those before next that are not done, by ascending number
	fresh     occurrence             // the progress of each occurrence from next on
	crashes   map[TaskID]CrashRecord // of the tasks under which a worker crashed; of a gang under its first task
}

func newJob(spec Spec, document []byte, queue Queue, workspace string, accepted time.Time) *Job {
	return &Job{
		spec: spec, document: document, queue: queue, workspace: workspace, accepted: accepted, fresh: freshOccurrence(spec.steps),
	}
}

// Spec returns the parsed specification.
func (j *Job) Spec() Spec { return j.spec }

// Document returns the specification as submitted, which the caller must not modify.
func (j *Job) Document() []byte { return j.document }

// Queue returns the queue as declared at the time of submission; State.CurrentQueue returns it as declared now.
func (j *Job) Queue() Queue { return j.queue }

// Workspace returns the name of the owning workspace, empty for a caller without a key.
func (j *Job) Workspace() string { return j.workspace }

// Accepted returns the time of acceptance.
func (j *Job) Accepted() time.Time { return j.accepted }

// EndedAt returns the time at which the job reached its final state, or the zero time before that.
func (j *Job) EndedAt() time.Time { return j.ended }

// Active reports whether the job has no final state yet, so that its tasks may still be placed.
func (j *Job) Active() bool { return j.result == "" }

// Started reports whether any task has been placed.
func (j *Job) Started() bool { return j.started }

// State returns the final state, or Running once a task has been placed, or Queued.
func (j *Job) State() JobState {
	switch {
	case j.result != "":
		return j.result
	case j.started:
		return Running
	default:
		return Queued
	}
}

// Task returns the progress of a task and reports whether the job has that task.
func (j *Job) Task(id TaskID) (t Task, ok bool) {
	if id.occurrence < 0 || id.step < 0 || id.index < 0 || id.occurrence >= j.spec.occurrences || id.step >= len(j.spec.steps) || id.index >= j.spec.steps[id.step].count {
		return Task{}, false
	}
	return j.occurrence(id.occurrence).steps[id.step].At(id.index), true
}

// Tasks returns the tasks of a step in an occurrence.
func (j *Job) Tasks(occurrence, step int) TaskList { return j.occurrence(occurrence).steps[step] }

// Ready reports whether all steps that the given step depends on are done in that occurrence.
func (j *Job) Ready(occurrence, step int) bool {
	return j.occurrence(occurrence).ready(j.spec.steps[step])
}

// Checkpoint returns the checkpoint from which the next run of a task resumes; the tasks of a gang share one.
func (j *Job) Checkpoint(id TaskID) string {
	return j.Tasks(id.occurrence, id.step).At(j.sharedID(id).index).checkpoint
}

// HasPlaced reports whether any task has a placed run.
func (j *Job) HasPlaced() bool {
	return slices.ContainsFunc(j.open, func(o occurrence) bool { return o.placed > 0 })
}

// HasWaiting reports whether the job is active and a task waits for placement, even if its step is not ready.
func (j *Job) HasWaiting() bool {
	return j.Active() && (j.next < j.spec.occurrences || slices.ContainsFunc(j.open, func(o occurrence) bool { return o.waiting > 0 }))
}

func (j *Job) allDone() bool {
	return j.next == j.spec.occurrences && !slices.ContainsFunc(j.open, func(o occurrence) bool { return !o.done() })
}

func (j *Job) finish(result JobState, at time.Time) *Job {
	next := *j
	next.result, next.ended = result, at
	return &next
}

// place places all runs of a group, or none if a task does not wait or a run number is not new.
func (j *Job) place(g Group, at time.Time) (next *Job, ok bool) {
	if !j.Active() || !j.mayOpen(g.occurrence) || g.step >= len(j.spec.steps) {
		return j, false
	}
	next, position := j.withOpen(g.occurrence)
	tasks := next.open[position].steps[g.step].edit()
	for _, m := range g.members {
		if m.index < 0 || m.index >= tasks.list.size {
			return j, false
		}
		if t := tasks.list.At(m.index); t.phase != Waiting || m.run <= t.run {
			return j, false
		}
		tasks.change(m.index, func(t *Task) { t.phase, t.run, t.worker, t.phaseSince = Placed, m.run, m.worker, at })
	}
	next.started = true
	next.open[position] = next.open[position].withStep(g.step, tasks.list)
	return next, true
}

// saveCheckpoint stores the checkpoint of the run that is placed; a checkpoint of any other run is ignored.
func (j *Job) saveCheckpoint(c RunCheckpoint) (next *Job, ok bool) {
	t, known := j.Task(c.task)
	if !known || !j.Active() || t.phase != Placed || t.run != c.run || c.checkpoint == "" {
		return j, false
	}
	next, position := j.withOpen(c.task.occurrence)
	tasks := next.open[position].steps[c.task.step].edit()
	tasks.change(j.sharedID(c.task).index, func(t *Task) { t.checkpoint = c.checkpoint })
	next.open[position] = next.open[position].withStep(c.task.step, tasks.list)
	return next, true
}

// sharedID returns the id of the task that holds what the tasks of a gang share: the first of a gang, else the task
// itself.
func (j *Job) sharedID(id TaskID) TaskID {
	if j.spec.steps[id.step].gang {
		return id.StepKey()
	}
	return id
}

// endRun records the end of a run; the job fails once a task or gang has attempts failed runs.
func (j *Job) endRun(e End, attempts int, at time.Time) (next *Job, ok bool) {
	t, known := j.Task(e.task)
	if !known || t.phase != Placed || t.run != e.run {
		return j, false
	}
	next, position := j.withOpen(e.task.occurrence)
	step := j.spec.steps[e.task.step]
	tasks := next.open[position].steps[e.task.step].edit()
	shared := j.sharedID(e.task).index
	if e.checkpoint != "" {
		tasks.change(shared, func(t *Task) { t.checkpoint = e.checkpoint })
	}
	tasks.change(e.task.index, func(t *Task) { t.phase, t.phaseSince = Waiting, at })
	switch e.outcome {
	case Done:
		// A long-running task ends only when its job is cancelled, so it waits to run again.
		if !step.longRunning {
			markDone(tasks, e.task.index, step.gang)
		}
	case Failed:
		if tasks.list.At(shared).failedRun != e.run {
			tasks.change(shared, func(t *Task) { t.failures, t.failedRun = t.failures+1, e.run })
		}
		if tasks.list.At(shared).failures >= attempts && !step.longRunning && next.Active() {
			next = next.finish(JobFailed, at)
		}
	case Stopped, Lapsed, Broken, Alone, Lost:
	}
	next.open[position] = next.open[position].withStep(e.task.step, tasks.list)
	next.closeDone(position)
	if next.Active() && next.allDone() {
		next = next.finish(Completed, at)
	}
	return next, true
}

// markDone marks a task as done, and in a gang all other tasks with it.
func markDone(tasks *taskEditor, index int, gang bool) {
	done := func(t *Task) { t.phase = Ended }
	if gang {
		tasks.changeAll(done)
		return
	}
	tasks.change(index, done)
}
