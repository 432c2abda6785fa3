package batch

import "time"

// Command is a change of the state that the ledger orders.
//
//sumtype:decl
type Command interface{ command() }

// Declare puts a declaration in force, unless one of the same or a higher version is.
type Declare struct{ document []byte }

// Submit accepts a job; a job of the same id is left as it is.
type Submit struct {
	id        string
	queue     string
	workspace string
	document  []byte
	at        time.Time
}

// Cancel ends a job; what is placed is to be stopped.
type Cancel struct {
	id string
	at time.Time
}

// PlaceRuns places runs, each group whole or not at all.
type PlaceRuns struct {
	groups []Group
	at     time.Time
}

// EndRuns takes the ends of runs.
type EndRuns struct {
	ends []End
	at   time.Time
}

// SaveCheckpoints keeps the checkpoints of runs that go on, so that they outlive the worker.
type SaveCheckpoints struct{ checkpoints []RunCheckpoint }

// PruneJobs drops the jobs that ended before a time and have nothing placed.
type PruneJobs struct{ before time.Time }

// Barrier changes nothing; once it is committed, its proposer has seen all that was acknowledged before.
type Barrier struct{}

func (Declare) command()         {}
func (Submit) command()          {}
func (Cancel) command()          {}
func (PlaceRuns) command()       {}
func (EndRuns) command()         {}
func (SaveCheckpoints) command() {}
func (PruneJobs) command()       {}
func (Barrier) command()         {}

// NewDeclare returns the command for a document that a Decoder can read.
func NewDeclare(document []byte) Declare { return Declare{document: document} }

// Document returns the declaration as the operator sent it.
func (c Declare) Document() []byte { return c.document }

// NewSubmit returns the command that accepts a job into a queue at the given time.
func NewSubmit(id, queue, workspace string, document []byte, at time.Time) Submit {
	return Submit{id: id, queue: queue, workspace: workspace, document: document, at: at}
}

// ID returns the job's id.
func (c Submit) ID() string { return c.id }

// Queue returns the queue's name.
func (c Submit) Queue() string { return c.queue }

// Workspace returns the owner's name.
func (c Submit) Workspace() string { return c.workspace }

// Document returns the job as the caller sent it.
func (c Submit) Document() []byte { return c.document }

// At returns when the job was accepted.
func (c Submit) At() time.Time { return c.at }

// NewCancel returns the command that ends a job at the given time.
func NewCancel(id string, at time.Time) Cancel { return Cancel{id: id, at: at} }

// ID returns the job's id.
func (c Cancel) ID() string { return c.id }

// At returns when the job was cancelled.
func (c Cancel) At() time.Time { return c.at }

// NewPlaceRuns returns the command that places groups of runs at the given time.
func NewPlaceRuns(at time.Time, groups ...Group) PlaceRuns { return PlaceRuns{groups: groups, at: at} }

// Groups returns the groups.
func (c PlaceRuns) Groups() []Group { return c.groups }

// At returns when the runs were placed.
func (c PlaceRuns) At() time.Time { return c.at }

// NewEndRuns returns the command that takes ends at the given time.
func NewEndRuns(at time.Time, ends ...End) EndRuns { return EndRuns{ends: ends, at: at} }

// Ends returns the ends.
func (c EndRuns) Ends() []End { return c.ends }

// At returns when the ends were taken.
func (c EndRuns) At() time.Time { return c.at }

// NewSaveCheckpoints returns the command that keeps the checkpoints of runs that go on.
func NewSaveCheckpoints(marks ...RunCheckpoint) SaveCheckpoints {
	return SaveCheckpoints{checkpoints: marks}
}

// Checkpoints returns the checkpoints.
func (c SaveCheckpoints) Checkpoints() []RunCheckpoint { return c.checkpoints }

// NewPruneJobs returns the command that drops jobs that ended before the given time.
func NewPruneJobs(before time.Time) PruneJobs { return PruneJobs{before: before} }

// Before returns the time before which dropped jobs ended.
func (c PruneJobs) Before() time.Time { return c.before }

// Group is a set of runs of one step that are placed together.
type Group struct {
	job        string
	occurrence int
	step       int
	members    []Member
}

// NewGroup returns the runs of one step that are placed together.
func NewGroup(step TaskID, members ...Member) Group {
	return Group{job: step.job, occurrence: step.occurrence, step: step.step, members: members}
}

// Step returns the key of the step.
func (g Group) Step() TaskID { return TaskID{g.job, g.occurrence, g.step, 0} }

// Members returns the runs.
func (g Group) Members() []Member { return g.members }

// Task returns the name of a member's task.
func (g Group) Task(m Member) TaskID { return TaskID{g.job, g.occurrence, g.step, m.index} }

// Member is one run of a group.
type Member struct {
	index  int
	run    int
	worker Incarnation
}

// NewMember returns the run of the task with the given index on a worker.
func NewMember(index, run int, worker Incarnation) Member {
	return Member{index: index, run: run, worker: worker}
}

// Index returns the task's number in its step.
func (m Member) Index() int { return m.index }

// Run returns the run's number.
func (m Member) Run() int { return m.run }

// Worker returns where the run is placed.
func (m Member) Worker() Incarnation { return m.worker }

// End is the end of one run.
type End struct {
	task       TaskID
	run        int
	outcome    RunOutcome
	checkpoint string
}

// NewEnd returns the end of a run, with the checkpoint that it left, or an empty string.
func NewEnd(task TaskID, run int, how RunOutcome, checkpoint string) End {
	return End{task: task, run: run, outcome: how, checkpoint: checkpoint}
}

// Task returns the task's name.
func (e End) Task() TaskID { return e.task }

// Run returns the run's number.
func (e End) Run() int { return e.run }

// Outcome returns how the run ended.
func (e End) Outcome() RunOutcome { return e.outcome }

// Checkpoint returns the checkpoint that the run left.
func (e End) Checkpoint() string { return e.checkpoint }

// RunCheckpoint is the latest checkpoint of a run that goes on.
type RunCheckpoint struct {
	task       TaskID
	run        int
	checkpoint string
}

// NewRunCheckpoint returns the checkpoint of a run that goes on.
func NewRunCheckpoint(task TaskID, run int, checkpoint string) RunCheckpoint {
	return RunCheckpoint{task: task, run: run, checkpoint: checkpoint}
}

// Task returns the task's name.
func (m RunCheckpoint) Task() TaskID { return m.task }

// Run returns the run's number.
func (m RunCheckpoint) Run() int { return m.run }

// Checkpoint returns the checkpoint.
func (m RunCheckpoint) Checkpoint() string { return m.checkpoint }
