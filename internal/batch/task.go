package batch

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	job        string
	occurrence int
	step       int
	index      int
}

// NewTaskID returns the name of a task; all numbers count from 0.
func NewTaskID(job string, occurrence, step, index int) TaskID {
	return TaskID{job: job, occurrence: occurrence, step: step, index: index}
}

// ParseTaskID reads what String wrote.
func ParseTaskID(text string) (id TaskID, err error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return id, fmt.Errorf("task %q is not job.occurrence.step.index", text)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		if numbers[i], err = strconv.Atoi(p); err != nil || numbers[i] < 0 {
			return id, fmt.Errorf("task %q is not job.occurrence.step.index", text)
		}
	}
	return TaskID{parts[0], numbers[0], numbers[1], numbers[2]}, nil
}

// String returns the form job.occurrence.step.index.
func (t TaskID) String() string {
	return t.job + "." + strconv.Itoa(t.occurrence) + "." + strconv.Itoa(t.step) + "." + strconv.Itoa(t.index)
}

// Job returns the job's id.
func (t TaskID) Job() string { return t.job }

// Occurrence returns the number of the occurrence.
func (t TaskID) Occurrence() int { return t.occurrence }

// Step returns the number of the step.
func (t TaskID) Step() int { return t.step }

// Index returns the number of the task in its step.
func (t TaskID) Index() int { return t.index }

// StepKey names a step of an occurrence.
func (t TaskID) StepKey() TaskID { return TaskID{t.job, t.occurrence, t.step, 0} }

// Incarnation is one life of a worker process: its host, its id and its birth.
type Incarnation struct {
	host        string
	id          string
	startUnixMS int64
}

// NewIncarnation returns the life of the worker id on a host that was born at the given Unix millisecond.
func NewIncarnation(host, id string, born int64) Incarnation {
	return Incarnation{host: host, id: id, startUnixMS: born}
}

// Host returns the name of the host, on which one worker runs at a time.
func (l Incarnation) Host() string { return l.host }

// ID returns the worker's id.
func (l Incarnation) ID() string { return l.id }

// StartUnixMS returns the Unix millisecond of the birth.
func (l Incarnation) StartUnixMS() int64 { return l.startUnixMS }

// Phase is how far a task has come.
type Phase string

// The phases of a task.
const (
	Waiting Phase = "waiting"
	Placed  Phase = "placed"
	Ended   Phase = "done"
)

// Task is the progress of one task; it is immutable.
type Task struct {
	phase      Phase
	run        int
	worker     Incarnation
	phaseSince time.Time
	failures   int
	failedRun  int
	checkpoint string
}

// RestoreTask returns the task that a snapshot kept.
func RestoreTask(p Phase, run int, worker Incarnation, since time.Time, failures, failedRun int, checkpoint string) Task {
	return Task{p, run, worker, since, failures, failedRun, checkpoint}
}

// Phase returns how far the task has come.
func (t Task) Phase() Phase { return t.phase }

// Run returns the number of the latest run, 0 before the first.
func (t Task) Run() int { return t.run }

// Worker returns where the latest run was placed.
func (t Task) Worker() Incarnation { return t.worker }

// PhaseSince returns when the latest run was placed, or when it ended if the task waits again.
func (t Task) PhaseSince() time.Time { return t.phaseSince }

// Failures returns the number of runs that failed; for a gang it is kept at the first task.
func (t Task) Failures() int { return t.failures }

// FailedRun returns the latest run that failed.
func (t Task) FailedRun() int { return t.failedRun }

// Checkpoint returns the latest checkpoint; for a gang it is kept at the first task.
func (t Task) Checkpoint() string { return t.checkpoint }

// RunOutcome says how a run ended.
type RunOutcome string

// The ways in which a run ends. Lost means that the run never began or that its worker's lease has ended unseen.
const (
	Done    RunOutcome = "done"
	Failed  RunOutcome = "failed"
	Stopped RunOutcome = "stopped"
	Lapsed  RunOutcome = "lapsed"
	Broken  RunOutcome = "broken"
	Alone   RunOutcome = "alone"
	Lost    RunOutcome = "lost"
)
