package batch

import (
	"fmt"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
)

// Decoder reads the documents that operators and callers send; each member of the ledger must read them alike.
type Decoder interface {
	// Declaration reads a declaration.
	Declaration(document []byte) (Declaration, error)
	// Spec reads the job of the given id.
	Spec(id string, document []byte) (Spec, error)
}

// Result is what a command did.
//
//sumtype:decl
type Result interface{ result() }

// NewRejected returns the result of a command that was not applied, for the given reason.
func NewRejected(reason string) Rejected { return Rejected{reason: reason} }

// Declared tells which version is in force after a Declare.
type Declared struct{ version int64 }

// Accepted tells that a job is in the state, now or since an earlier submission.
type Accepted struct{ known bool }

// Cancelled tells whether a job was known.
type Cancelled struct{ known bool }

// RunsPlaced tells which groups were placed.
type RunsPlaced struct{ placed []bool }

// Applied tells that a command with nothing to tell was applied.
type Applied struct{}

// Rejected tells why a command was not applied.
type Rejected struct{ reason string }

func (Declared) result()   {}
func (Accepted) result()   {}
func (Cancelled) result()  {}
func (RunsPlaced) result() {}
func (Applied) result()    {}
func (Rejected) result()   {}

// Version returns the version that is in force.
func (r Declared) Version() int64 { return r.version }

// Known reports whether the job had been accepted before.
func (r Accepted) Known() bool { return r.known }

// Known reports whether there is such a job.
func (r Cancelled) Known() bool { return r.known }

// Placed reports for each group whether it was placed.
func (r RunsPlaced) Placed() []bool { return r.placed }

// Reason returns why the command was not applied.
func (r Rejected) Reason() string { return r.reason }

// State is all that the ledger keeps; it is immutable, and Apply returns the next one.
type State struct {
	decoder     Decoder
	declaration Declaration
	document    []byte
	jobs        board.Table[*Job]
	waves       map[int64]Wave
}

// NewState returns the empty state.
func NewState(d Decoder) State { return State{decoder: d, jobs: board.NewTable[*Job]()} }

// Declaration returns what is in force.
func (s State) Declaration() Declaration { return s.declaration }

// Document returns the declaration as the operator sent it, nil before the first.
func (s State) Document() []byte { return s.document }

// Job returns the job of the given id.
func (s State) Job(id string) (j *Job, ok bool) { return s.jobs.Get(id) }

// Jobs returns all jobs by id.
func (s State) Jobs() board.Table[*Job] { return s.jobs }

// CurrentQueue returns the queue of a job as it is declared now, or as it was when it was dropped since.
func (s State) CurrentQueue(j *Job) Queue {
	if q, ok := s.declaration.Queue(j.queue.name); ok {
		return q
	}
	return j.queue
}

// Pending returns how many accepted jobs of a queue have not started.
func (s State) Pending(queue string) int {
	count := 0
	for _, j := range s.jobs.All() {
		if j.queue.name == queue && j.Active() && !j.started {
			count++
		}
	}
	return count
}

// Apply returns the state after a command, and what the command did.
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
		for _, m := range c.checkpoints {
			s = s.saveCheckpoint(m)
		}
		return s, Applied{}
	case PruneJobs:
		s.jobs = s.jobs.Filter(func(_ string, j *Job) bool {
			return j.Active() || !j.ended.Before(c.before) || j.HasPlaced()
		})
		return s, Applied{}
	case StartWave:
		return s.startWave(c), Applied{}
	case RecordMaintenance:
		return s.recordMaintenance(c), Applied{}
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
		return s, Rejected{reason: fmt.Sprintf("queue %q is not declared", c.queue)}
	}
	spec, err := s.decoder.Spec(c.id, c.document)
	if err != nil {
		return s, Rejected{reason: err.Error()}
	}
	s.jobs = s.jobs.With(c.id, newJob(spec, slices.Clone(c.document), q, c.workspace, c.at))
	return s, Accepted{}
}

func (s State) cancel(c Cancel) (State, Result) {
	j, known := s.jobs.Get(c.id)
	if known && j.Active() {
		s.jobs = s.jobs.With(c.id, j.finish(JobCancelled, c.at))
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
		if j, placed[i] = j.place(g, c.at); placed[i] {
			s.jobs = s.jobs.With(g.job, j)
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
		s.jobs = s.jobs.With(e.task.job, next)
	}
	return s
}

func (s State) saveCheckpoint(m RunCheckpoint) State {
	j, known := s.jobs.Get(m.task.job)
	if !known {
		return s
	}
	if next, ok := j.saveCheckpoint(m); ok {
		s.jobs = s.jobs.With(m.task.job, next)
	}
	return s
}

// JobSnapshot is a job as a snapshot keeps it.
type JobSnapshot struct {
	submit  Submit
	queue   Queue
	result  JobState
	ended   time.Time
	started bool
	tasks   [][][]Task
}

// SnapshotJob returns the kept form of a job.
func SnapshotJob(j *Job) JobSnapshot {
	return JobSnapshot{
		submit: NewSubmit(j.spec.id, j.queue.name, j.workspace, j.document, j.accepted),
		queue:  j.queue, result: j.result, ended: j.ended, started: j.started, tasks: j.tasks,
	}
}

// NewJobSnapshot returns the kept form of a job that a snapshot decoded.
func NewJobSnapshot(c Submit, q Queue, result JobState, ended time.Time, started bool, tasks [][][]Task) JobSnapshot {
	return JobSnapshot{submit: c, queue: q, result: result, ended: ended, started: started, tasks: tasks}
}

// Submit returns the command that accepted the job.
func (r JobSnapshot) Submit() Submit { return r.submit }

// Queue returns the queue as it was at the submission.
func (r JobSnapshot) Queue() Queue { return r.queue }

// Result returns the final state, or an empty string.
func (r JobSnapshot) Result() JobState { return r.result }

// Ended returns when the job ended.
func (r JobSnapshot) Ended() time.Time { return r.ended }

// Started reports whether a task was ever placed.
func (r JobSnapshot) Started() bool { return r.started }

// Tasks returns the tasks by occurrence, step and index.
func (r JobSnapshot) Tasks() [][][]Task { return r.tasks }

// RestoreState returns the state that a snapshot kept.
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
		s.jobs = s.jobs.With(spec.id, &Job{
			spec: spec, document: r.submit.document, queue: r.queue, workspace: r.submit.workspace,
			accepted: r.submit.at, result: r.result, ended: r.ended, started: r.started, tasks: r.tasks,
		})
	}
	return s, nil
}
