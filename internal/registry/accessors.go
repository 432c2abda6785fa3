package registry

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// NewApplyConfig returns the command.
func NewApplyConfig(requestID string, delta workspace.Delta, at time.Time) ApplyConfig {
	return ApplyConfig{requestID: requestID, delta: delta, at: at}
}

// RequestID returns the identity that a resend repeats.
func (a ApplyConfig) RequestID() string { return a.requestID }

// Delta returns the change; it starts from the revision that the operator saw.
func (a ApplyConfig) Delta() workspace.Delta { return a.delta }

// At returns the leader's time of the proposal.
func (a ApplyConfig) At() time.Time { return a.at }

// NewSubmitJob returns the command.
func NewSubmitJob(requestID string, spec job.Spec, at time.Time) SubmitJob {
	return SubmitJob{requestID: requestID, spec: spec, at: at}
}

// RequestID returns the identity that a resend repeats.
func (s SubmitJob) RequestID() string { return s.requestID }

// Spec returns what was asked for.
func (s SubmitJob) Spec() job.Spec { return s.spec }

// At returns the leader's time of the proposal.
func (s SubmitJob) At() time.Time { return s.at }

// NewCancelJob returns the command.
func NewCancelJob(requestID string, id string, workspace string, at time.Time) CancelJob {
	return CancelJob{requestID: requestID, id: id, workspace: workspace, at: at}
}

// RequestID returns the identity that a resend repeats.
func (c CancelJob) RequestID() string { return c.requestID }

// ID returns the identity of the job.
func (c CancelJob) ID() string { return c.id }

// Workspace returns the name of the workspace.
func (c CancelJob) Workspace() string { return c.workspace }

// At returns the leader's time of the proposal.
func (c CancelJob) At() time.Time { return c.at }

// NewReserveGang returns the command.
func NewReserveGang(id string, members []job.Member, length time.Duration) ReserveGang {
	return ReserveGang{id: id, members: members, length: length}
}

// ID returns the identity of the job.
func (r ReserveGang) ID() string { return r.id }

// Members returns where the members are placed.
func (r ReserveGang) Members() []job.Member { return r.members }

// Length returns the length of the task leases.
func (r ReserveGang) Length() time.Duration { return r.length }

// NewStartGang returns the command.
func NewStartGang(id string, fence lease.FencingToken) StartGang {
	return StartGang{id: id, fence: fence}
}

// ID returns the identity of the job.
func (s StartGang) ID() string { return s.id }

// Fence returns the fencing number of the reservation.
func (s StartGang) Fence() lease.FencingToken { return s.fence }

// NewStopGang returns the command.
func NewStopGang(id string, fence lease.FencingToken, reason string) StopGang {
	return StopGang{id: id, fence: fence, reason: reason}
}

// ID returns the identity of the job.
func (s StopGang) ID() string { return s.id }

// Fence returns the fencing number of the reservation.
func (s StopGang) Fence() lease.FencingToken { return s.fence }

// Reason returns the reason for people.
func (s StopGang) Reason() string { return s.reason }

// NewThrottleGang returns the command.
func NewThrottleGang(id string, fence lease.FencingToken, speed job.Speed, reason string) ThrottleGang {
	return ThrottleGang{id: id, fence: fence, speed: speed, reason: reason}
}

// ID returns the identity of the job.
func (t ThrottleGang) ID() string { return t.id }

// Fence returns the fencing number of the reservation.
func (t ThrottleGang) Fence() lease.FencingToken { return t.fence }

// Speed returns the new speed.
func (t ThrottleGang) Speed() job.Speed { return t.speed }

// Reason returns why the speed changes, for people.
func (t ThrottleGang) Reason() string { return t.reason }

// NewRequeueJob returns the command.
func NewRequeueJob(id string, fence lease.FencingToken, reason string, notBefore time.Time) RequeueJob {
	return RequeueJob{id: id, fence: fence, reason: reason, notBefore: notBefore}
}

// NotBefore returns when the job may be placed again.
func (r RequeueJob) NotBefore() time.Time { return r.notBefore }

// ID returns the identity of the job.
func (r RequeueJob) ID() string { return r.id }

// Fence returns the fencing number of the reservation.
func (r RequeueJob) Fence() lease.FencingToken { return r.fence }

// Reason returns the reason for people.
func (r RequeueJob) Reason() string { return r.reason }

// NewEndJob returns the command.
func NewEndJob(id string, fence lease.FencingToken, result job.Result, reason string, at time.Time) EndJob {
	return EndJob{id: id, fence: fence, result: result, reason: reason, at: at}
}

// ID returns the identity of the job.
func (e EndJob) ID() string { return e.id }

// Fence returns the fencing number of the reservation.
func (e EndJob) Fence() lease.FencingToken { return e.fence }

// Result returns how the job ended.
func (e EndJob) Result() job.Result { return e.result }

// Reason returns the reason for people.
func (e EndJob) Reason() string { return e.reason }

// At returns the leader's time of the proposal.
func (e EndJob) At() time.Time { return e.at }

// WithAttempt returns the command with the identity of the attempt; the same attempt is granted once and told its number again.
func (c ClaimKey) WithAttempt(attempt string) ClaimKey {
	c.attempt = attempt
	return c
}

// Attempt returns the identity of the attempt.
func (c ClaimKey) Attempt() string { return c.attempt }

// NewClaimKey returns the command.
func NewClaimKey(workspace string, key string, fingerprint string, until time.Time, at time.Time) ClaimKey {
	return ClaimKey{workspace: workspace, key: key, fingerprint: fingerprint, until: until, at: at}
}

// Workspace returns the name of the workspace.
func (c ClaimKey) Workspace() string { return c.workspace }

// Key returns the caller's idempotency key.
func (c ClaimKey) Key() string { return c.key }

// Fingerprint returns the digest of the request.
func (c ClaimKey) Fingerprint() string { return c.fingerprint }

// Until returns the deadline of the attempt.
func (c ClaimKey) Until() time.Time { return c.until }

// At returns the leader's time of the proposal.
func (c ClaimKey) At() time.Time { return c.at }

// NewSettleKey returns the command.
func NewSettleKey(workspace string, key string, number uint64, ending Ending, at time.Time) SettleKey {
	return SettleKey{workspace: workspace, key: key, number: number, ending: ending, at: at}
}

// Workspace returns the name of the workspace.
func (s SettleKey) Workspace() string { return s.workspace }

// Key returns the caller's idempotency key.
func (s SettleKey) Key() string { return s.key }

// Number returns the number of the claim.
func (s SettleKey) Number() uint64 { return s.number }

// Ending returns how the attempt ended.
func (s SettleKey) Ending() Ending { return s.ending }

// At returns the leader's time of the proposal.
func (s SettleKey) At() time.Time { return s.at }

// NewDrainEndpoint returns the command.
func NewDrainEndpoint(requestID string, name string, drained bool, at time.Time) DrainEndpoint {
	return DrainEndpoint{requestID: requestID, name: name, drained: drained, at: at}
}

// RequestID returns the identity that a resend repeats.
func (d DrainEndpoint) RequestID() string { return d.requestID }

// Name returns the name of the endpoint.
func (d DrainEndpoint) Name() string { return d.name }

// Drained returns whether the endpoint takes no new work.
func (d DrainEndpoint) Drained() bool { return d.drained }

// At returns the leader's time of the proposal.
func (d DrainEndpoint) At() time.Time { return d.at }

// NewExpire returns the command.
func NewExpire(before, answers time.Time) Expire {
	return Expire{before: before, answers: answers}
}

// Before returns the moment before which records are dropped.
func (e Expire) Before() time.Time { return e.before }

// Answers returns the moment before which answers of attempts are dropped.
func (e Expire) Answers() time.Time { return e.answers }
