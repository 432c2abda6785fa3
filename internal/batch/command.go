package batch

import "time"

// Command is a change of the State; the ledger fixes the order in which all members apply commands.
//
//sumtype:decl
type Command interface{ command() }

// Declare replaces the declaration in force if the new one has a higher version.
type Declare struct{ document []byte }

// Submit accepts a job; if a job with the same id exists, it has no effect.
type Submit struct {
	id        string
	queue     string
	workspace string
	document  []byte
	at        time.Time
}

// Cancel ends a job; its placed runs are to be stopped, and stay in the state until their ends are committed.
type Cancel struct {
	id string
	at time.Time
}

// PlaceRuns assigns runs to workers; each group is placed completely or not at all.
type PlaceRuns struct {
	groups []Group
	at     time.Time
}

// EndRuns records that runs have ended.
type EndRuns struct {
	ends []End
	at   time.Time
}

// SaveCheckpoints stores the checkpoints of runs still in progress, so that they survive the loss of the worker.
type SaveCheckpoints struct{ checkpoints []RunCheckpoint }

// PruneJobs deletes the jobs that ended before a given time and have no placed run.
type PruneJobs struct{ before time.Time }

// Barrier changes nothing; once it is committed, its proposer has applied every command acknowledged before it.
type Barrier struct{}

func (Declare) command()         {}
func (Submit) command()          {}
func (Cancel) command()          {}
func (PlaceRuns) command()       {}
func (EndRuns) command()         {}
func (SaveCheckpoints) command() {}
func (PruneJobs) command()       {}
func (Barrier) command()         {}

// NewDeclare returns the command for a declaration document, which the Decoder of the State must be able to parse.
func NewDeclare(document []byte) Declare { return Declare{document: document} }

// Document returns the declaration as the operator sent it.
func (c Declare) Document() []byte { return c.document }

// NewSubmit returns the command that accepts a job into a queue at the given time.
// The workspace is empty for a caller without a key.
func NewSubmit(id, queue, workspace string, document []byte, at time.Time) Submit {
	return Submit{id: id, queue: queue, workspace: workspace, document: document, at: at}
}

// ID returns the job's id, which is unique over all queues.
func (c Submit) ID() string { return c.id }

// Queue returns the name of the queue that the job was submitted to.
func (c Submit) Queue() string { return c.queue }

// Workspace returns the name of the owning workspace, empty for a caller without a key.
func (c Submit) Workspace() string { return c.workspace }

// Document returns the job specification as the caller sent it.
func (c Submit) Document() []byte { return c.document }

// At returns the time of acceptance.
func (c Submit) At() time.Time { return c.at }

// NewCancel returns the command that ends a job at the given time.
func NewCancel(id string, at time.Time) Cancel { return Cancel{id: id, at: at} }

// ID returns the id of the job to cancel.
func (c Cancel) ID() string { return c.id }

// At returns the time of the cancellation.
func (c Cancel) At() time.Time { return c.at }

// NewPlaceRuns returns the command that places groups of runs at the given time.
func NewPlaceRuns(at time.Time, groups ...Group) PlaceRuns { return PlaceRuns{groups: groups, at: at} }

// Groups returns the groups, in the order in which they are placed.
func (c PlaceRuns) Groups() []Group { return c.groups }

// At returns the time of placement.
func (c PlaceRuns) At() time.Time { return c.at }

// NewEndRuns returns the command that records ends of runs at the given time.
func NewEndRuns(at time.Time, ends ...End) EndRuns { return EndRuns{ends: ends, at: at} }

// Ends returns the ends, in the order in which they are recorded.
func (c EndRuns) Ends() []End { return c.ends }

// At returns the time at which the ends are recorded.
func (c EndRuns) At() time.Time { return c.at }

// NewSaveCheckpoints returns the command that stores the checkpoints of runs still in progress.
func NewSaveCheckpoints(checkpoints ...RunCheckpoint) SaveCheckpoints {
	return SaveCheckpoints{checkpoints: checkpoints}
}

// Checkpoints returns the checkpoints to store; one that does not belong to the latest run of its task has no effect.
func (c SaveCheckpoints) Checkpoints() []RunCheckpoint { return c.checkpoints }

// NewPruneJobs returns the command that deletes jobs that ended before the given time.
func NewPruneJobs(before time.Time) PruneJobs { return PruneJobs{before: before} }

// Before returns the time before which a job must have ended to be deleted.
func (c PruneJobs) Before() time.Time { return c.before }

// Group is a set of runs of one step that are placed together or not at all.
type Group struct {
	job        string
	occurrence int
	step       int
	members    []Member
}

// NewGroup returns a group for the step that the given key names.
func NewGroup(step TaskID, members ...Member) Group {
	return Group{job: step.job, occurrence: step.occurrence, step: step.step, members: members}
}

// Step returns the key of the step: the id of its task 0.
func (g Group) Step() TaskID { return TaskID{g.job, g.occurrence, g.step, 0} }

// Members returns the runs, each of a different task of the step.
func (g Group) Members() []Member { return g.members }

// Task returns the id of a member's task.
func (g Group) Task(m Member) TaskID { return TaskID{g.job, g.occurrence, g.step, m.index} }

// Member is one run of a group.
type Member struct {
	index  int
	run    int
	worker Incarnation
}

// NewMember returns a run of the task with the given index on a worker.
func NewMember(index, run int, worker Incarnation) Member {
	return Member{index: index, run: run, worker: worker}
}

// Index returns the task's position in its step, from 0.
func (m Member) Index() int { return m.index }

// Run returns the number of the run, which is higher than that of any earlier run of the task.
func (m Member) Run() int { return m.run }

// Worker returns the incarnation of the worker that the run is assigned to.
func (m Member) Worker() Incarnation { return m.worker }

// End records how one run ended.
type End struct {
	task       TaskID
	run        int
	outcome    RunOutcome
	checkpoint string
}

// NewEnd returns the end of a run; the checkpoint is empty if the run left none.
func NewEnd(task TaskID, run int, outcome RunOutcome, checkpoint string) End {
	return End{task: task, run: run, outcome: outcome, checkpoint: checkpoint}
}

// Task returns the id of the task that was run.
func (e End) Task() TaskID { return e.task }

// Run returns the number of the run, from 1.
func (e End) Run() int { return e.run }

// Outcome returns how the run ended, as reported by the worker or inferred by the leader.
func (e End) Outcome() RunOutcome { return e.outcome }

// Checkpoint returns the last checkpoint of the run, or an empty string.
func (e End) Checkpoint() string { return e.checkpoint }

// RunCheckpoint is the latest checkpoint of a run that is still in progress.
type RunCheckpoint struct {
	task       TaskID
	run        int
	checkpoint string
}

// NewRunCheckpoint returns the checkpoint of a run; an empty checkpoint is not stored.
func NewRunCheckpoint(task TaskID, run int, checkpoint string) RunCheckpoint {
	return RunCheckpoint{task: task, run: run, checkpoint: checkpoint}
}

// Task returns the id of the running task.
func (c RunCheckpoint) Task() TaskID { return c.task }

// Run returns the number of the run, from 1.
func (c RunCheckpoint) Run() int { return c.run }

// Checkpoint returns the checkpoint as the worker reported it.
func (c RunCheckpoint) Checkpoint() string { return c.checkpoint }
