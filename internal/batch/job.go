package batch

import (
	"slices"
	"time"
)

// JobState is what callers are told of a job.
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
	result    JobState // empty while the job lives
	ended     time.Time
	started   bool
	tasks     [][][]Task // by occurrence, step and index
}

func newJob(spec Spec, document []byte, queue Queue, workspace string, accepted time.Time) *Job {
	j := &Job{spec: spec, document: document, queue: queue, workspace: workspace, accepted: accepted}
	j.tasks = make([][][]Task, spec.occurrences)
	for k := range j.tasks {
		j.tasks[k] = make([][]Task, len(spec.steps))
		for i, s := range spec.steps {
			j.tasks[k][i] = slices.Repeat([]Task{{phase: Waiting}}, s.count)
		}
	}
	return j
}

// Spec returns what was submitted.
func (j *Job) Spec() Spec { return j.spec }

// Document returns the submitted text, which the caller must not modify.
func (j *Job) Document() []byte { return j.document }

// Queue returns the queue as it was at the submission.
func (j *Job) Queue() Queue { return j.queue }

// Workspace returns the owner's name; it is empty for a caller without a key.
func (j *Job) Workspace() string { return j.workspace }

// Accepted returns when the job was accepted.
func (j *Job) Accepted() time.Time { return j.accepted }

// EndedAt returns when the job ended, the zero time before that.
func (j *Job) EndedAt() time.Time { return j.ended }

// Active reports whether tasks may still be placed.
func (j *Job) Active() bool { return j.result == "" }

// Started reports whether a task was ever placed.
func (j *Job) Started() bool { return j.started }

// State returns what callers are told.
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

// Task returns the progress of a task.
func (j *Job) Task(id TaskID) (t Task, ok bool) {
	if id.occurrence >= len(j.tasks) || id.step >= len(j.spec.steps) || id.index >= j.spec.steps[id.step].count {
		return Task{}, false
	}
	return j.tasks[id.occurrence][id.step][id.index], true
}

// Tasks returns the tasks of a step in an occurrence, which the caller must not modify.
func (j *Job) Tasks(occurrence, step int) []Task { return j.tasks[occurrence][step] }

// Ready reports whether all steps that the given one depends on are done.
func (j *Job) Ready(occurrence, step int) bool {
	for _, a := range j.spec.steps[step].after {
		if !j.stepDone(occurrence, a) {
			return false
		}
	}
	return true
}

// Checkpoint returns what the next run of a task starts from; the tasks of a gang share it.
func (j *Job) Checkpoint(id TaskID) string {
	return j.sharedTask(id).checkpoint
}

func (j *Job) stepDone(occurrence, step int) bool {
	return !slices.ContainsFunc(j.tasks[occurrence][step], func(t Task) bool { return t.phase != Ended })
}

// HasPlaced reports whether a run is placed.
func (j *Job) HasPlaced() bool { return j.hasPhase(Placed) }

// HasWaiting reports whether the job lives and a task is not placed yet, its turn come or not.
func (j *Job) HasWaiting() bool { return j.Active() && j.hasPhase(Waiting) }

func (j *Job) hasPhase(p Phase) bool {
	for _, steps := range j.tasks {
		for _, tasks := range steps {
			if slices.ContainsFunc(tasks, func(t Task) bool { return t.phase == p }) {
				return true
			}
		}
	}
	return false
}

func (j *Job) allDone() bool {
	for k := range j.tasks {
		for i := range j.tasks[k] {
			if !j.stepDone(k, i) {
				return false
			}
		}
	}
	return true
}

// withStepCopy returns a copy in which the tasks of one step may be modified.
func (j *Job) withStepCopy(occurrence, step int) *Job {
	next := *j
	next.tasks = slices.Clone(j.tasks)
	next.tasks[occurrence] = slices.Clone(j.tasks[occurrence])
	next.tasks[occurrence][step] = slices.Clone(j.tasks[occurrence][step])
	return &next
}

func (j *Job) finish(result JobState, at time.Time) *Job {
	next := *j
	next.result, next.ended = result, at
	return &next
}

// place places runs, all or none.
func (j *Job) place(g Group, at time.Time) (next *Job, ok bool) {
	if !j.Active() {
		return j, false
	}
	next = j.withStepCopy(g.occurrence, g.step)
	next.started = true
	tasks := next.tasks[g.occurrence][g.step]
	for _, m := range g.members {
		t := &tasks[m.index]
		if t.phase != Waiting || m.run <= t.run {
			return j, false
		}
		t.phase, t.run, t.worker, t.phaseSince = Placed, m.run, m.worker, at
	}
	return next, true
}

// saveCheckpoint keeps the checkpoint of a run that goes on.
func (j *Job) saveCheckpoint(m RunCheckpoint) (next *Job, ok bool) {
	t, known := j.Task(m.task)
	if !known || !j.Active() || t.phase != Placed || t.run != m.run || m.checkpoint == "" {
		return j, false
	}
	next = j.withStepCopy(m.task.occurrence, m.task.step)
	next.sharedTask(m.task).checkpoint = m.checkpoint
	return next, true
}

// sharedTask returns the task that keeps what a task shares with the others of its gang: the first, or the task itself.
func (j *Job) sharedTask(id TaskID) *Task {
	if j.spec.steps[id.step].gang {
		return &j.tasks[id.occurrence][id.step][0]
	}
	return &j.tasks[id.occurrence][id.step][id.index]
}

// endRun takes the end of a run; attempts is how many runs of a task may fail.
func (j *Job) endRun(e End, attempts int, at time.Time) (next *Job, ok bool) {
	t, known := j.Task(e.task)
	if !known || t.phase != Placed || t.run != e.run {
		return j, false
	}
	next = j.withStepCopy(e.task.occurrence, e.task.step)
	step := j.spec.steps[e.task.step]
	tasks := next.tasks[e.task.occurrence][e.task.step]
	ended := &tasks[e.task.index]
	shared := next.sharedTask(e.task)
	if e.checkpoint != "" {
		shared.checkpoint = e.checkpoint
	}
	ended.phase, ended.phaseSince = Waiting, at
	switch e.outcome {
	case Done:
		// A task that lasts has no end of its own.
		if !step.longRunning {
			markDone(tasks, ended, step.gang)
		}
	case Failed:
		if shared.failedRun != e.run {
			shared.failures++
			shared.failedRun = e.run
		}
		if shared.failures >= attempts && !step.longRunning && next.Active() {
			next = next.finish(JobFailed, at)
		}
	case Stopped, Lapsed, Broken, Alone, Lost:
	}
	if next.Active() && next.allDone() {
		next = next.finish(Completed, at)
	}
	return next, true
}

// markDone marks a task as done, and with it all tasks of a gang.
func markDone(tasks []Task, ended *Task, gang bool) {
	ended.phase = Ended
	if !gang {
		return
	}
	for i := range tasks {
		tasks[i].phase = Ended
	}
}
