package job

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
)

// State is how far a job has come.
type State string

// The states of a job; Done is final.
const (
	Queued   State = "queued"
	Reserved State = "reserved"
	Started  State = "started"
	Stopping State = "stopping"
	Done     State = "done"
)

// Result says how a job ended.
type Result string

// The results of a job.
const (
	Unfinished Result = ""
	Succeeded  Result = "succeeded"
	Failed     Result = "failed"
	Cancelled  Result = "cancelled"
	Rejected   Result = "rejected"
	MayHaveRun Result = "may-have-run"
)

// CancelReason is the reason of a job that is stopping because it was cancelled.
const CancelReason = "cancelled"

// Job is a spec and its progress; it is immutable.
type Job struct {
	spec      Spec
	state     State
	result    Result
	reason    string
	fence     lease.FencingToken
	attempts  int
	setbacks  int
	members   []Member
	lease     time.Duration
	speed     Speed
	notBefore time.Time
	endedAt   time.Time
}

// New returns a queued job.
func New(spec Spec) Job { return Job{spec: spec, state: Queued} }

// Spec returns what was asked for.
func (j Job) Spec() Spec { return j.spec }

// State returns how far the job has come.
func (j Job) State() State { return j.state }

// Result returns how the job ended, Unfinished before that.
func (j Job) Result() Result { return j.result }

// Reason returns why the job is in its state, for people.
func (j Job) Reason() string { return j.reason }

// Fence returns the fencing number of the latest reservation.
func (j Job) Fence() lease.FencingToken { return j.fence }

// Attempts returns how many times the job was started.
func (j Job) Attempts() int { return j.attempts }

// Setbacks returns the number of reservations in a row that were not started.
func (j Job) Setbacks() int { return j.setbacks }

// NotBefore returns when a queued job may be placed, the zero time for at once.
func (j Job) NotBefore() time.Time { return j.notBefore }

// Members returns where the members are placed, which the caller must not modify.
func (j Job) Members() []Member { return j.members }

// Placed reports whether the job has members at workers.
func (j Job) Placed() bool {
	return j.state == Reserved || j.state == Started || j.state == Stopping
}

// Reserve returns the job placed on members under a new fence.
func (j Job) Reserve(fence lease.FencingToken, members []Member) Job {
	j.state, j.fence, j.members, j.reason = Reserved, fence, slices.Clone(members), "reserving all members"
	j.speed = Full
	j.setbacks++
	return j
}

// WithLease returns the job with the length of its task leases; every leader counts with the length that
// the workers were given, whatever its own settings say.
func (j Job) WithLease(length time.Duration) Job {
	j.lease = length
	return j
}

// Lease returns the length of the task leases of the latest reservation.
func (j Job) Lease() time.Duration { return j.lease }

// Start returns the job as started, with one more attempt.
func (j Job) Start() Job {
	j.state, j.reason = Started, "all members reserved"
	j.attempts++
	j.setbacks = 0
	return j
}

// Stop returns the job as stopping for the given reason.
func (j Job) Stop(reason string) Job {
	j.state, j.reason = Stopping, reason
	return j
}

// Requeue returns the job as queued without members until the given time at least; its fence is kept
// so that the next one voids it.
func (j Job) Requeue(reason string, notBefore time.Time) Job {
	j.state, j.members, j.reason, j.notBefore, j.speed = Queued, nil, reason, notBefore, Full
	return j
}

// Finish returns the job as done with the given result.
func (j Job) Finish(result Result, reason string) Job {
	j.state, j.result, j.reason, j.members, j.speed = Done, result, reason, nil, Full
	return j
}

// EndedAt returns the job with the time of its end.
func (j Job) EndedAt(at time.Time) Job {
	j.endedAt = at
	return j
}

// EndTime returns when the job ended, the zero time before that.
func (j Job) EndTime() time.Time { return j.endedAt }

// Progress is the changing part of a job, as a snapshot keeps it.
type Progress struct {
	state     State
	result    Result
	reason    string
	fence     lease.FencingToken
	attempts  int
	setbacks  int
	notBefore time.Time
	endedAt   time.Time
}

// NewProgress returns the changing part of a job.
func NewProgress(state State, result Result, reason string, fence lease.FencingToken, attempts int, endedAt time.Time) Progress {
	return Progress{state: state, result: result, reason: reason, fence: fence, attempts: attempts, endedAt: endedAt}
}

// WithSetbacks returns the progress with the reservations that were not started and the end of the pause after them.
func (p Progress) WithSetbacks(setbacks int, notBefore time.Time) Progress {
	p.setbacks, p.notBefore = setbacks, notBefore
	return p
}

// Restore returns the job that a snapshot kept.
func Restore(spec Spec, p Progress, members []Member) Job {
	return Job{
		spec: spec, state: p.state, result: p.result, reason: p.reason,
		fence: p.fence, attempts: p.attempts, setbacks: p.setbacks, members: members,
		notBefore: p.notBefore, endedAt: p.endedAt,
	}
}
