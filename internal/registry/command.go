package registry

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Command is an entry of the log that changes the state; the leader proposes it, and each replica passes it to Apply.
//
//sumtype:decl
type Command interface {
	command()
}

// ApplyConfig changes the configuration if its delta is based on the current revision. It holds a delta because the whole
// configuration of 120 workspaces takes 13 KB in the log.
type ApplyConfig struct {
	requestID  string
	delta      workspace.Delta
	proposedAt time.Time
}

// SubmitJob adds a job to the queue of its workspace.
type SubmitJob struct {
	requestID  string
	spec       job.Spec
	proposedAt time.Time
}

// CancelJob ends a queued job, or marks one that is placed as stopping.
type CancelJob struct {
	requestID  string
	id         string
	workspace  string
	proposedAt time.Time
}

// ReserveGang places a queued job on workers under task leases of the given duration.
type ReserveGang struct {
	id            string
	members       []job.Member
	leaseDuration time.Duration
}

// StartGang marks a reserved job as started; from then on it may have run.
type StartGang struct {
	id           string
	fencingToken lease.FencingToken
}

// StopGang marks a placed job as stopping.
type StopGang struct {
	id           string
	fencingToken lease.FencingToken
	reason       string
}

// ThrottleGang changes the speed of a started job by one step, as Speed.Follows allows.
type ThrottleGang struct {
	id           string
	fencingToken lease.FencingToken
	speed        job.Speed
	reason       string
}

// RequeueJob returns a placed job to the queue; the leader proposes it after all members have ended.
type RequeueJob struct {
	id           string
	fencingToken lease.FencingToken
	reason       string
	notBefore    time.Time
}

// EndJob ends a job; the fencing token is 0 for a job that is not placed.
type EndJob struct {
	id           string
	fencingToken lease.FencingToken
	result       job.Result
	reason       string
	proposedAt   time.Time
}

// ClaimKey records an attempt at a non-idempotent request before the request is sent to an endpoint.
type ClaimKey struct {
	workspace   string
	key         string
	fingerprint string
	attemptID   string
	deadline    time.Time
	proposedAt  time.Time
}

// SettleKey records the result of a claimed attempt.
type SettleKey struct {
	workspace     string
	key           string
	attemptNumber uint64
	result        AttemptResult
	proposedAt    time.Time
}

// DrainEndpoint drains an endpoint, or ends its drain.
type DrainEndpoint struct {
	requestID  string
	name       string
	drained    bool
	proposedAt time.Time
}

// Expire drops the records of jobs, claims and replies that ended before one time, and the responses of attempts that
// ended before another, which is later.
type Expire struct {
	recordsBefore   time.Time
	responsesBefore time.Time
}

func (ApplyConfig) command()   {}
func (SubmitJob) command()     {}
func (CancelJob) command()     {}
func (ReserveGang) command()   {}
func (StartGang) command()     {}
func (StopGang) command()      {}
func (ThrottleGang) command()  {}
func (RequeueJob) command()    {}
func (EndJob) command()        {}
func (ClaimKey) command()      {}
func (SettleKey) command()     {}
func (DrainEndpoint) command() {}
func (Expire) command()        {}
