package batch

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	job        string
	occurrence int
	step       int
	index      int
}

// NewTaskID returns the id of a task; occurrence, step and index count from 0.
func NewTaskID(job string, occurrence, step, index int) TaskID {
	return TaskID{job: job, occurrence: occurrence, step: step, index: index}
}

// ParseTaskID parses the form that String returns.
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

// Job returns the id of the job that the task belongs to.
func (t TaskID) Job() string { return t.job }

// Occurrence returns the number of the occurrence, from 0; it is 0 for a job without a schedule.
func (t TaskID) Occurrence() int { return t.occurrence }

// Step returns the number of the step in its job, from 0.
func (t TaskID) Step() int { return t.step }

// Index returns the number of the task in its step, from 0.
func (t TaskID) Index() int { return t.index }

// StepKey returns the key of the task's step in its occurrence: the id of the step's task 0.
func (t TaskID) StepKey() TaskID { return TaskID{t.job, t.occurrence, t.step, 0} }

// Incarnation identifies one process lifetime of a worker by its host, its id and its start time.
type Incarnation struct {
	host        string
	id          string
	startUnixMS int64
}

// NewIncarnation returns the incarnation of a worker on a host that started at the given Unix time in milliseconds.
func NewIncarnation(host, id string, startUnixMS int64) Incarnation {
	return Incarnation{host: host, id: id, startUnixMS: startUnixMS}
}

// Host returns the name of the host; a host runs one worker at a time.
func (i Incarnation) Host() string { return i.host }

// ID returns the worker's id, which may stay the same over several incarnations.
func (i Incarnation) ID() string { return i.id }

// StartUnixMS returns the start time of the process as Unix time in milliseconds.
func (i Incarnation) StartUnixMS() int64 { return i.startUnixMS }

// Phase is the scheduling phase of a task.
type Phase string

// The phases of a task. A task returns from Placed to Waiting when its run ends without completing it.
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

// RestoreTask returns a task as stored in a snapshot.
func RestoreTask(
	p Phase, run int, worker Incarnation, since time.Time, failures, failedRun int, checkpoint string,
) Task {
	return Task{p, run, worker, since, failures, failedRun, checkpoint}
}

// Phase returns whether the task waits, is placed or is done.
func (t Task) Phase() Phase { return t.phase }

// Run returns the number of the latest run, 0 before the first.
func (t Task) Run() int { return t.run }

// Worker returns the worker that the latest run was placed on, zero before the first run.
func (t Task) Worker() Incarnation { return t.worker }

// PhaseSince returns when the latest run was placed, or when it ended if the task waits again; it is the zero time
// before the first run.
func (t Task) PhaseSince() time.Time { return t.phaseSince }

// Failures returns the number of failed runs; a gang counts them in its first task.
func (t Task) Failures() int { return t.failures }

// FailedRun returns the number of the latest failed run, 0 for none; a gang records it in its first task.
func (t Task) FailedRun() int { return t.failedRun }

// Checkpoint returns the latest checkpoint, empty for none; a gang stores it in its first task.
func (t Task) Checkpoint() string { return t.checkpoint }

// RunOutcome is the way in which a run ended.
type RunOutcome string

// The outcomes of a run. Workers report all but Lost, which the leader records for a run that never started or whose
// worker's lease has expired without a report of the end.
const (
	Done    RunOutcome = "done"
	Failed  RunOutcome = "failed"
	Stopped RunOutcome = "stopped"
	Lapsed  RunOutcome = "lapsed"
	Broken  RunOutcome = "broken"
	Alone   RunOutcome = "alone"
	Lost    RunOutcome = "lost"
)
