package registry

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Command is a change of the state, as the leader proposes it.
//
//sumtype:decl
type Command interface {
	command()
}

// ApplyConfig changes the configuration if the change starts from the current revision. It holds what differs, because
// the whole configuration of 120 workspaces takes 13 KB in the log.
type ApplyConfig struct {
	requestID string
	delta     workspace.Delta
	at        time.Time
}

// SubmitJob adds a job.
type SubmitJob struct {
	requestID string
	spec      job.Spec
	at        time.Time
}

// CancelJob ends a queued job, or stops one that is placed.
type CancelJob struct {
	requestID string
	id        string
	workspace string
	at        time.Time
}

// ReserveGang places a queued job under task leases of the given length.
type ReserveGang struct {
	id      string
	members []job.Member
	length  time.Duration
}

// StartGang marks a reserved job as started.
type StartGang struct {
	id    string
	fence lease.FencingToken
}

// StopGang marks a placed job as stopping.
type StopGang struct {
	id     string
	fence  lease.FencingToken
	reason string
}

// ThrottleGang changes the speed of a started job.
type ThrottleGang struct {
	id     string
	fence  lease.FencingToken
	speed  job.Speed
	reason string
}

// RequeueJob returns a placed job to the queue after all its members have ended.
type RequeueJob struct {
	id        string
	fence     lease.FencingToken
	reason    string
	notBefore time.Time
}

// EndJob ends a job; the fence is 0 for a job that was never placed.
type EndJob struct {
	id     string
	fence  lease.FencingToken
	result job.Result
	reason string
	at     time.Time
}

// ClaimKey records an attempt at a non-idempotent request before it is dispatched.
type ClaimKey struct {
	workspace   string
	key         string
	fingerprint string
	attempt     string
	until       time.Time
	at          time.Time
}

// SettleKey records how a claimed attempt ended.
type SettleKey struct {
	workspace string
	key       string
	number    uint64
	ending    Ending
	at        time.Time
}

// DrainEndpoint marks an endpoint as leaving, or takes the mark back.
type DrainEndpoint struct {
	requestID string
	name      string
	drained   bool
	at        time.Time
}

// Expire drops records that ended before a moment, and the answers of attempts that ended before a later one.
type Expire struct {
	before  time.Time
	answers time.Time
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
