package registry

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// NewApplyConfig returns a command that applies delta to the configuration; an empty requestID turns deduplication off.
func NewApplyConfig(requestID string, delta workspace.Delta, proposedAt time.Time) ApplyConfig {
	return ApplyConfig{requestID: requestID, delta: delta, proposedAt: proposedAt}
}

// RequestID returns the ID that a retry of the operator's request repeats, empty for no deduplication.
func (a ApplyConfig) RequestID() string { return a.requestID }

// Delta returns the change; its base is the revision that the operator read.
func (a ApplyConfig) Delta() workspace.Delta { return a.delta }

// ProposedAt returns the time on the leader's clock at which it proposed the command.
func (a ApplyConfig) ProposedAt() time.Time { return a.proposedAt }

// NewSubmitJob returns a command that adds a job; an empty requestID turns deduplication off.
func NewSubmitJob(requestID string, spec job.Spec, proposedAt time.Time) SubmitJob {
	return SubmitJob{requestID: requestID, spec: spec, proposedAt: proposedAt}
}

// RequestID returns the ID that a retry of the operator's request repeats, empty for no deduplication.
func (s SubmitJob) RequestID() string { return s.requestID }

// Spec returns the job as the operator submitted it.
func (s SubmitJob) Spec() job.Spec { return s.spec }

// ProposedAt returns the time on the leader's clock at which it proposed the command.
func (s SubmitJob) ProposedAt() time.Time { return s.proposedAt }

// NewCancelJob returns a command that cancels a job of a workspace; an empty workspace matches every job, and an empty
// requestID turns deduplication off.
func NewCancelJob(requestID string, id string, workspace string, proposedAt time.Time) CancelJob {
	return CancelJob{requestID: requestID, id: id, workspace: workspace, proposedAt: proposedAt}
}

// RequestID returns the ID that a retry of the operator's request repeats, empty for no deduplication.
func (c CancelJob) RequestID() string { return c.requestID }

// ID returns the ID of the job.
func (c CancelJob) ID() string { return c.id }

// Workspace returns the name of the workspace that the job must belong to, empty for any.
func (c CancelJob) Workspace() string { return c.workspace }

// ProposedAt returns the time on the leader's clock at which it proposed the command.
func (c CancelJob) ProposedAt() time.Time { return c.proposedAt }

// NewReserveGang returns a command that reserves workers for the members of a queued job, under task leases of
// leaseDuration.
func NewReserveGang(id string, members []job.Member, leaseDuration time.Duration) ReserveGang {
	return ReserveGang{id: id, members: members, leaseDuration: leaseDuration}
}

// ID returns the ID of the job.
func (r ReserveGang) ID() string { return r.id }

// Members returns the members and the workers that they are placed on.
func (r ReserveGang) Members() []job.Member { return r.members }

// LeaseDuration returns how long each task lease lasts unless it is renewed.
func (r ReserveGang) LeaseDuration() time.Duration { return r.leaseDuration }

// NewStartGang returns a command that applies only while the job is reserved and its reservation has the given fencing
// token.
func NewStartGang(id string, fencingToken lease.FencingToken) StartGang {
	return StartGang{id: id, fencingToken: fencingToken}
}

// ID returns the ID of the job.
func (s StartGang) ID() string { return s.id }

// FencingToken returns the fencing token of the reservation that the command applies to.
func (s StartGang) FencingToken() lease.FencingToken { return s.fencingToken }

// NewStopGang returns a command that applies only while the job is reserved, started or stopping and its
// reservation has the given fencing token.
func NewStopGang(id string, fencingToken lease.FencingToken, reason string) StopGang {
	return StopGang{id: id, fencingToken: fencingToken, reason: reason}
}

// ID returns the ID of the job.
func (s StopGang) ID() string { return s.id }

// FencingToken returns the fencing token of the reservation that the command applies to.
func (s StopGang) FencingToken() lease.FencingToken { return s.fencingToken }

// Reason returns why the job is stopped, as free text for operators.
func (s StopGang) Reason() string { return s.reason }

// NewThrottleGang returns a command that applies only while the job is started and its reservation has the given
// fencing token.
func NewThrottleGang(id string, fencingToken lease.FencingToken, speed job.Speed, reason string) ThrottleGang {
	return ThrottleGang{id: id, fencingToken: fencingToken, speed: speed, reason: reason}
}

// ID returns the ID of the job.
func (t ThrottleGang) ID() string { return t.id }

// FencingToken returns the fencing token of the reservation that the command applies to.
func (t ThrottleGang) FencingToken() lease.FencingToken { return t.fencingToken }

// Speed returns the speed to change to.
func (t ThrottleGang) Speed() job.Speed { return t.speed }

// Reason returns why the speed changes, as free text for operators.
func (t ThrottleGang) Reason() string { return t.reason }

// NewRequeueJob returns a command that applies only while the job is reserved, started or stopping and its
// reservation has the given fencing token.
func NewRequeueJob(id string, fencingToken lease.FencingToken, reason string, notBefore time.Time) RequeueJob {
	return RequeueJob{id: id, fencingToken: fencingToken, reason: reason, notBefore: notBefore}
}

// NotBefore returns the earliest time at which the job may be placed again.
func (r RequeueJob) NotBefore() time.Time { return r.notBefore }

// ID returns the ID of the job.
func (r RequeueJob) ID() string { return r.id }

// FencingToken returns the fencing token of the reservation that the command applies to.
func (r RequeueJob) FencingToken() lease.FencingToken { return r.fencingToken }

// Reason returns why the job is queued again, as free text for operators.
func (r RequeueJob) Reason() string { return r.reason }

// NewEndJob returns a command that ends a job with a result; the fencing token is 0 for a queued
// job, which has no reservation.
func NewEndJob(id string, fencingToken lease.FencingToken, result job.Result, reason string, proposedAt time.Time) EndJob {
	return EndJob{id: id, fencingToken: fencingToken, result: result, reason: reason, proposedAt: proposedAt}
}

// ID returns the ID of the job.
func (e EndJob) ID() string { return e.id }

// FencingToken returns the fencing token of the reservation that the command applies to.
func (e EndJob) FencingToken() lease.FencingToken { return e.fencingToken }

// Result returns the result that the job gets.
func (e EndJob) Result() job.Result { return e.result }

// Reason returns why the job ended, as free text for operators.
func (e EndJob) Reason() string { return e.reason }

// ProposedAt returns the time on the leader's clock at which it proposed the command.
func (e EndJob) ProposedAt() time.Time { return e.proposedAt }

// WithAttemptID returns a copy with the ID of the attempt; a resend with the same ID gets the attempt number that was
// granted first.
func (c ClaimKey) WithAttemptID(attemptID string) ClaimKey {
	c.attemptID = attemptID
	return c
}

// AttemptID returns the ID that a resend of the claim repeats, empty if resends cannot be recognized.
func (c ClaimKey) AttemptID() string { return c.attemptID }

// NewClaimKey returns a command that claims key for a request with the given fingerprint, whose attempt must end by
// deadline.
func NewClaimKey(workspace string, key string, fingerprint string, deadline time.Time, proposedAt time.Time) ClaimKey {
	return ClaimKey{workspace: workspace, key: key, fingerprint: fingerprint, deadline: deadline, proposedAt: proposedAt}
}

// Workspace returns the name of the caller's workspace.
func (c ClaimKey) Workspace() string { return c.workspace }

// Key returns the caller's idempotency key.
func (c ClaimKey) Key() string { return c.key }

// Fingerprint returns the digest of the request, by which another request under the same key is told apart.
func (c ClaimKey) Fingerprint() string { return c.fingerprint }

// Deadline returns the time by which the attempt must end.
func (c ClaimKey) Deadline() time.Time { return c.deadline }

// ProposedAt returns the time on the leader's clock at which it proposed the command.
func (c ClaimKey) ProposedAt() time.Time { return c.proposedAt }

// NewSettleKey returns a command that records the result of the attempt with the given number.
func NewSettleKey(workspace string, key string, attemptNumber uint64, result AttemptResult, proposedAt time.Time) SettleKey {
	return SettleKey{workspace: workspace, key: key, attemptNumber: attemptNumber, result: result, proposedAt: proposedAt}
}

// Workspace returns the name of the caller's workspace.
func (s SettleKey) Workspace() string { return s.workspace }

// Key returns the caller's idempotency key.
func (s SettleKey) Key() string { return s.key }

// AttemptNumber returns the number that the claim was granted.
func (s SettleKey) AttemptNumber() uint64 { return s.attemptNumber }

// Result returns the outcome of the attempt and its response, if that is kept.
func (s SettleKey) Result() AttemptResult { return s.result }

// ProposedAt returns the time on the leader's clock at which it proposed the command.
func (s SettleKey) ProposedAt() time.Time { return s.proposedAt }

// NewDrainEndpoint returns a command that drains the named endpoint, or ends its drain if drained is false.
func NewDrainEndpoint(requestID string, name string, drained bool, proposedAt time.Time) DrainEndpoint {
	return DrainEndpoint{requestID: requestID, name: name, drained: drained, proposedAt: proposedAt}
}

// RequestID returns the ID that a retry of the operator's request repeats, empty for no deduplication.
func (d DrainEndpoint) RequestID() string { return d.requestID }

// Name returns the name of the endpoint, which need not be connected.
func (d DrainEndpoint) Name() string { return d.name }

// Drained reports whether the endpoint is to get no new work.
func (d DrainEndpoint) Drained() bool { return d.drained }

// ProposedAt returns the time on the leader's clock at which it proposed the command.
func (d DrainEndpoint) ProposedAt() time.Time { return d.proposedAt }

// NewExpire returns a command that drops the records of jobs that ended, of claims that last changed and of replies
// that were given before recordsBefore, and the responses of attempts that ended before responsesBefore.
func NewExpire(recordsBefore, responsesBefore time.Time) Expire {
	return Expire{recordsBefore: recordsBefore, responsesBefore: responsesBefore}
}

// RecordsBefore returns the time before which ended jobs, claims of idempotency keys and replies, which are the
// recorded results that retries of a request get, are dropped.
func (e Expire) RecordsBefore() time.Time { return e.recordsBefore }

// ResponsesBefore returns the time before which the responses of endpoints to ended attempts are dropped; the outcomes
// of the attempts stay until RecordsBefore.
func (e Expire) ResponsesBefore() time.Time { return e.responsesBefore }
