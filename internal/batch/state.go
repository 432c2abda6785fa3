package batch

import (
	"fmt"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
)

// Decoder parses the documents that operators and callers send; it must give the same result on every replica.
type Decoder interface {
	// Declaration parses and validates a declaration.
	Declaration(document []byte) (Declaration, error)
	// Spec parses and validates the specification of the job with the given id.
	Spec(id string, document []byte) (Spec, error)
}

// Result is the effect of applying a command.
//
//sumtype:decl
type Result interface{ result() }

// NewRejected returns the result of a command that was not applied; the reason is returned to the caller.
func NewRejected(reason string) Rejected { return Rejected{reason: reason} }

// Declared is the result of Declare.
type Declared struct{ version int64 }

// Accepted is the result of Submit for a job that is in the state, from this or an earlier submission.
type Accepted struct{ known bool }

// Undeclared is the result of Submit for a queue that is not declared.
type Undeclared struct{}

// Cancelled is the result of Cancel.
type Cancelled struct{ known bool }

// RunsPlaced is the result of PlaceRuns.
type RunsPlaced struct{ placed []bool }

// Applied is the result of a command that returns no details.
type Applied struct{}

// Rejected is the result of a command that was not applied.
type Rejected struct{ reason string }

func (Declared) result()   {}
func (Accepted) result()   {}
func (Undeclared) result() {}
func (Cancelled) result()  {}
func (RunsPlaced) result() {}
func (Applied) result()    {}
func (Rejected) result()   {}

// Version returns the version in force after the command.
func (r Declared) Version() int64 { return r.version }

// Known reports whether an earlier submission had already been accepted under the same id.
func (r Accepted) Known() bool { return r.known }

// Known reports whether the job exists; it may have ended before.
func (r Cancelled) Known() bool { return r.known }

// Placed reports for each group of the command, in its order, whether it was placed.
func (r RunsPlaced) Placed() []bool { return r.placed }

// Reason returns the decoder's error or another explanation for the caller.
func (r Rejected) Reason() string { return r.reason }

// State is the whole replicated state; it is immutable, and Apply returns the next one.
type State struct {
	decoder     Decoder
	declaration Declaration
	document    []byte
	jobs        board.Table[*Job]
	usage       tally // bytes that the jobs take, ended ones included, by workspace
	pending     tally // active jobs that have never had a placed run, by queue
	waves       map[int64]Wave
	evacuations map[string]Evacuation // by availability zone
}

// NewState returns an empty state that parses documents with d.
func NewState(d Decoder) State { return State{decoder: d, jobs: board.NewTable[*Job]()} }

// Declaration returns the declaration in force, with version 0 before the first.
func (s State) Declaration() Declaration { return s.declaration }

// Document returns the declaration in force as the operator sent it, nil before the first.
func (s State) Document() []byte { return s.document }

// Job returns the job of the given id and reports whether it exists.
func (s State) Job(id string) (j *Job, ok bool) { return s.jobs.Get(id) }

// Jobs returns all jobs, ended ones included, keyed by id.
func (s State) Jobs() board.Table[*Job] { return s.jobs }

// CurrentQueue returns the queue of a job as declared now, or as declared at the submission if it no longer exists.
func (s State) CurrentQueue(j *Job) Queue {
	if q, ok := s.declaration.Queue(j.queue.name); ok {
		return q
	}
	return j.queue
}

// Apply returns the state after a command, and the command's result.
func (s State) Apply(c Command) (next State, r Result) {
	switch c := c.(type) {
	case Declare:
		return s.declare(c)
	case Submit:
		return s.submit(c)
	case Cancel:
		return s.cancel(c)
	case PlaceRuns:
		return s.placeRuns(c)
	case EndRuns:
		for _, e := range c.ends {
			s = s.endRun(e, c.at)
		}
		return s, Applied{}
	case SaveCheckpoints:
		for _, cp := range c.checkpoints {
			s = s.saveCheckpoint(cp)
		}
		return s, Applied{}
	case RecordCrashes:
		return s.recordCrashes(c)
	case PruneJobs:
		return s.prune(c), Applied{}
	case StartWave:
		return s.startWave(c), Applied{}
	case RecordMaintenance:
		return s.recordMaintenance(c), Applied{}
	case EvacuateZone:
		return s.evacuateZone(c)
	case ReopenZone:
		return s.reopenZone(c), Applied{}
	case Barrier:
		return s, Applied{}
	}
	return s, Rejected{reason: "unknown command"}
}

func (s State) declare(c Declare) (State, Result) {
	d, err := s.decoder.Declaration(c.document)
	if err != nil {
		return s, Rejected{reason: err.Error()}
	}
	if d.version > s.declaration.version {
		s.declaration, s.document = d, slices.Clone(c.document)
	}
	return s, Declared{version: s.declaration.version}
}

func (s State) submit(c Submit) (State, Result) {
	if _, known := s.jobs.Get(c.id); known {
		return s, Accepted{known: true}
	}
	q, ok := s.declaration.Queue(c.queue)
	if !ok {
		return s, Undeclared{}
	}
	spec, err := s.decoder.Spec(c.id, c.document)
	if err != nil {
		return s, Rejected{reason: err.Error()}
	}
	s = s.withJob(c.id, newJob(spec, slices.Clone(c.document), q, c.workspace, c.at))
	return s, Accepted{}
}

// withJob returns the state with a new job.
func (s State) withJob(id string, j *Job) State {
	s.jobs = s.jobs.With(id, j)
	s.usage = s.usage.plus(j.workspace, j.spec.bytes(len(j.document)))
	s.pending = s.pending.plus(j.queue.name, countPending(j))
	return s
}

func (s State) prune(c PruneJobs) State {
	s.jobs = s.jobs.Filter(func(_ string, j *Job) bool {
		if j.Active() || !j.ended.Before(c.before) || j.HasPlaced() {
			return true
		}
		s.usage = s.usage.plus(j.workspace, -j.spec.bytes(len(j.document)))
		return false
	})
	return s
}

func (s State) cancel(c Cancel) (State, Result) {
	j, known := s.jobs.Get(c.id)
	if known && j.Active() {
		s = s.replaceJob(j, j.finish(JobCancelled, c.at))
	}
	return s, Cancelled{known: known}
}

func (s State) placeRuns(c PlaceRuns) (State, Result) {
	placed := make([]bool, len(c.groups))
	for i, g := range c.groups {
		j, known := s.jobs.Get(g.job)
		if !known {
			continue
		}
		var next *Job
		if next, placed[i] = j.place(g, c.at); placed[i] {
			s = s.replaceJob(j, next)
		}
	}
	return s, RunsPlaced{placed: placed}
}

func (s State) endRun(e End, at time.Time) State {
	j, known := s.jobs.Get(e.task.job)
	if !known {
		return s
	}
	if next, ok := j.endRun(e, s.CurrentQueue(j).attempts, at); ok {
		s = s.replaceJob(j, next)
	}
	return s
}

func (s State) saveCheckpoint(c RunCheckpoint) State {
	j, known := s.jobs.Get(c.task.job)
	if !known {
		return s
	}
	if next, ok := j.saveCheckpoint(c); ok {
		s = s.replaceJob(j, next)
	}
	return s
}

// JobSnapshot is a job in the form stored in a snapshot.
type JobSnapshot struct {
	submit  Submit
	queue   Queue
	result  JobState
	ended   time.Time
	started bool
	numbers []int
	steps   [][]TaskList
	next    int
	all     bool // whether steps has all occurrences
	crashes map[TaskID]CrashRecord
}

// SnapshotJob returns the form of a job to store in a snapshot.
func SnapshotJob(j *Job) JobSnapshot {
	r := JobSnapshot{
		submit: NewSubmit(j.spec.id, j.queue.name, j.workspace, j.document, j.accepted),
		queue:  j.queue, result: j.result, ended: j.ended, started: j.started, next: j.next, crashes: j.crashes,
	}
	if r.all = j.spec.occurrences <= maxListedOccurrences && j.spec.occurrences*j.spec.countTasks() <= MaxListedTasks; r.all {
		r.next = j.spec.occurrences
		for k := range j.spec.occurrences {
			r.addOccurrence(j.occurrence(k))
		}
		return r
	}
	for _, o := range j.open {
		r.addOccurrence(o)
	}
	return r
}

const (
	// maxListedOccurrences is the number of occurrences up to which a snapshot has all of them. Earlier versions read only
	// such snapshots, and nearly all jobs run once.
	maxListedOccurrences = 64
	// MaxListedTasks is the number of tasks up to which a snapshot has all occurrences of a job and lists each task. For
	// larger jobs the size of a snapshot must not grow with the product of tasks and occurrences.
	MaxListedTasks = 4096
)

func (r *JobSnapshot) addOccurrence(o occurrence) {
	r.numbers = append(r.numbers, o.number)
	r.steps = append(r.steps, o.steps)
}

// NewJobSnapshot returns a job as decoded from a snapshot, without the progress of its tasks.
func NewJobSnapshot(c Submit, q Queue, result JobState, ended time.Time, started bool) JobSnapshot {
	return JobSnapshot{submit: c, queue: q, result: result, ended: ended, started: started}
}

// WithTasks returns a copy with the tasks, by step, of occurrences of the given ascending numbers. All other occurrences
// before next are done, and those from next on have not begun.
func (r JobSnapshot) WithTasks(numbers []int, steps [][]TaskList, next int) JobSnapshot {
	r.numbers, r.steps, r.next = numbers, steps, next
	return r
}

// WithCrashes returns a copy with the records of the tasks under which workers crashed.
func (r JobSnapshot) WithCrashes(crashes map[TaskID]CrashRecord) JobSnapshot {
	r.crashes = crashes
	return r
}

// Crashes returns the records of the tasks under which workers crashed; of a gang, under the id of its first task.
func (r JobSnapshot) Crashes() map[TaskID]CrashRecord { return r.crashes }

// Submit returns the command that accepted the job, which includes the specification as submitted.
func (r JobSnapshot) Submit() Submit { return r.submit }

// Queue returns the queue as declared at the time of submission.
func (r JobSnapshot) Queue() Queue { return r.queue }

// Result returns the final state, or an empty string for an active job.
func (r JobSnapshot) Result() JobState { return r.result }

// Ended returns the time at which the job ended, the zero time for an active job.
func (r JobSnapshot) Ended() time.Time { return r.ended }

// Started reports whether any task has been placed.
func (r JobSnapshot) Started() bool { return r.started }

// Tasks returns the progress of the tasks by occurrence and step; Numbers has the numbers of the occurrences.
func (r JobSnapshot) Tasks() [][]TaskList { return r.steps }

// Numbers returns the numbers of the occurrences in Tasks, in ascending order.
func (r JobSnapshot) Numbers() []int { return r.numbers }

// All reports whether Tasks has all occurrences of the job, those included that are done or have not begun.
func (r JobSnapshot) All() bool { return r.all }

// Next returns the number of the first occurrence of which no task has been placed.
func (r JobSnapshot) Next() int { return r.next }

// RestoreState returns the state of a snapshot without its waves and evacuations; it fails on a document that d cannot parse.
func RestoreState(d Decoder, document []byte, jobs []JobSnapshot) (s State, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("restore state: %w", err)
		}
	}()
	s = NewState(d)
	if len(document) > 0 {
		if s.declaration, err = d.Declaration(document); err != nil {
			return s, err
		}
		s.document = document
	}
	for _, r := range jobs {
		spec, err := d.Spec(r.submit.id, r.submit.document)
		if err != nil {
			return s, err
		}
		j := newJob(spec, r.submit.document, r.queue, r.submit.workspace, r.submit.at)
		j.result, j.ended, j.started, j.crashes = r.result, r.ended, r.started, r.crashes
		if err = spec.checkTasks(r.steps); err != nil {
			return s, err
		}
		j.restoreOccurrences(r.numbers, r.steps, r.next)
		s = s.withJob(spec.id, j)
	}
	return s, nil
}
