package job

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
)

// State is the position of a job in its life cycle.
type State string

// The states of a job. A job is placed in Reserved, Started and Stopping; Done is final.
const (
	Queued   State = "queued"
	Reserved State = "reserved"
	Started  State = "started"
	Stopping State = "stopping"
	Done     State = "done"
)

// Result is the outcome of a job.
type Result string

// The results of a job; MayHaveRun is that of one whose outcome is unknown and which is not idempotent.
const (
	Unfinished Result = ""
	Succeeded  Result = "succeeded"
	Failed     Result = "failed"
	Cancelled  Result = "cancelled"
	Rejected   Result = "rejected"
	MayHaveRun Result = "may-have-run"
)

// CancelReason is the reason of a job that is stopping because a caller cancelled it; package gang compares it.
const CancelReason = "cancelled"

// Job is a spec with its state and placement; it is immutable.
type Job struct {
	spec               Spec
	state              State
	result             Result
	reason             string
	fencingToken       lease.FencingToken
	attempts           int
	failedReservations int
	members            []Member
	leaseDuration      time.Duration
	speed              Speed
	notBefore          time.Time
	endedAt            time.Time
}

// New returns a queued job that was never placed.
func New(spec Spec) Job { return Job{spec: spec, state: Queued} }

// Spec returns the job as it was submitted.
func (j Job) Spec() Spec { return j.spec }

// State returns the state that the latest committed command gave the job.
func (j Job) State() State { return j.state }

// Result returns the result of the job, Unfinished until it is done.
func (j Job) Result() Result { return j.result }

// Reason returns why the job is in its state, as free text for operators.
func (j Job) Reason() string { return j.reason }

// FencingToken returns the fencing token of the latest reservation, 0 before the first.
func (j Job) FencingToken() lease.FencingToken { return j.fencingToken }

// Attempts returns how many times the job was started.
func (j Job) Attempts() int { return j.attempts }

// FailedReservations returns the number of consecutive reservations that were not started, a current one included.
func (j Job) FailedReservations() int { return j.failedReservations }

// NotBefore returns the earliest time at which a queued job may be placed, the zero time for no delay.
func (j Job) NotBefore() time.Time { return j.notBefore }

// Members returns the placement of the members, empty for a job that is not placed; the caller must not modify it.
func (j Job) Members() []Member { return j.members }

// Placed reports whether the job has members that are placed on workers.
func (j Job) Placed() bool {
	return j.state == Reserved || j.state == Started || j.state == Stopping
}

// Reserve returns a copy that is placed on members under a new fencing token.
func (j Job) Reserve(fencingToken lease.FencingToken, members []Member) Job {
	j.state, j.fencingToken, j.members, j.reason = Reserved, fencingToken, slices.Clone(members), "reserving all members"
	j.speed = Full
	j.failedReservations++
	return j
}

// WithLeaseDuration returns a copy with the duration of its task leases. The job keeps it because every leader must use
// the duration that the workers were given, even if its own settings differ.
func (j Job) WithLeaseDuration(d time.Duration) Job {
	j.leaseDuration = d
	return j
}

// LeaseDuration returns the duration of the task leases of the latest reservation.
func (j Job) LeaseDuration() time.Duration { return j.leaseDuration }

// Start returns a copy in state Started, with one more attempt.
func (j Job) Start() Job {
	j.state, j.reason = Started, "all members reserved"
	j.attempts++
	j.failedReservations = 0
	return j
}

// Stop returns a copy in state Stopping for the given reason.
func (j Job) Stop(reason string) Job {
	j.state, j.reason = Stopping, reason
	return j
}

// Requeue returns a copy that is queued without members and may be placed from notBefore on. It keeps its fencing token,
// which the larger one of the next reservation voids.
func (j Job) Requeue(reason string, notBefore time.Time) Job {
	j.state, j.members, j.reason, j.notBefore, j.speed = Queued, nil, reason, notBefore, Full
	return j
}

// Finish returns a copy in state Done with the given result and without members.
func (j Job) Finish(result Result, reason string) Job {
	j.state, j.result, j.reason, j.members, j.speed = Done, result, reason, nil, Full
	return j
}

// WithEndTime returns a copy with the time at which the job ended.
func (j Job) WithEndTime(at time.Time) Job {
	j.endedAt = at
	return j
}

// EndTime returns when the job ended, the zero time until it is done.
func (j Job) EndTime() time.Time { return j.endedAt }

// Progress is the part of a job that changes, as a snapshot stores it.
type Progress struct {
	state              State
	result             Result
	reason             string
	fencingToken       lease.FencingToken
	attempts           int
	failedReservations int
	notBefore          time.Time
	endedAt            time.Time
}

// NewProgress returns the part of a job that changes, without failed reservations; endedAt is zero for one not done.
func NewProgress(state State, result Result, reason string, fencingToken lease.FencingToken, attempts int, endedAt time.Time) Progress {
	return Progress{state: state, result: result, reason: reason, fencingToken: fencingToken, attempts: attempts, endedAt: endedAt}
}

// WithFailedReservations returns a copy with the number of consecutive reservations that were not started and the end of
// the delay after them.
func (p Progress) WithFailedReservations(failedReservations int, notBefore time.Time) Progress {
	p.failedReservations, p.notBefore = failedReservations, notBefore
	return p
}

// Restore returns the job that a snapshot stored, at full speed and without a lease duration.
func Restore(spec Spec, p Progress, members []Member) Job {
	return Job{
		spec: spec, state: p.state, result: p.result, reason: p.reason,
		fencingToken: p.fencingToken, attempts: p.attempts, failedReservations: p.failedReservations, members: members,
		notBefore: p.notBefore, endedAt: p.endedAt,
	}
}
