package registry

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Apply returns the state after a command, and the result for its proposer. It is deterministic: replicas that apply the
// same commands in the same order have the same state.
func Apply(s State, c Command) (next State, r Result) {
	switch c := c.(type) {
	case ApplyConfig:
		return deduplicate(s, "apply", c.requestID, c.proposedAt, func() (State, Result) { return applyConfig(s, c) })
	case SubmitJob:
		return deduplicate(s, "submit/"+c.spec.Workspace(), c.requestID, c.proposedAt, func() (State, Result) { return submit(s, c) })
	case CancelJob:
		return deduplicate(s, "cancel/"+c.workspace, c.requestID, c.proposedAt, func() (State, Result) { return cancel(s, c) })
	case DrainEndpoint:
		return deduplicate(s, "drain", c.requestID, c.proposedAt, func() (State, Result) { return drain(s, c) })
	case EvacuateZone:
		if old, ok := s.replies.Get(c.sharedReplyKey()); ok {
			return s, old.result
		}
		return deduplicate(s, c.scope(), c.requestID, c.proposedAt(), func() (State, Result) { return evacuate(s, c) })
	case ReserveGang:
		return reserve(s, c)
	case StartGang:
		return updateJob(s, c.id, func(j job.Job) (job.Job, Result) { return startGang(j, c) })
	case StopGang:
		return updateJob(s, c.id, func(j job.Job) (job.Job, Result) { return stopGang(j, c) })
	case ThrottleGang:
		return updateJob(s, c.id, func(j job.Job) (job.Job, Result) { return throttleGang(j, c) })
	case RequeueJob:
		return updateJob(s, c.id, func(j job.Job) (job.Job, Result) { return requeue(j, c) })
	case EndJob:
		return updateJob(s, c.id, func(j job.Job) (job.Job, Result) { return endJob(j, c) })
	case ClaimKey:
		return claim(s, c)
	case SettleKey:
		return settle(s, c)
	case Expire:
		return expire(s, c), Accepted{revision: s.config.Revision()}
	default:
		return s, Denied{reason: "unknown command"}
	}
}

// deduplicate calls apply for the first request with requestID and returns the recorded result for a retry, which
// changes nothing. The scope separates the kinds of command and the workspaces, so that a caller that happens to use the
// ID of another caller does not get that caller's result.
func deduplicate(s State, scope, requestID string, proposedAt time.Time, apply func() (State, Result)) (next State, r Result) {
	if requestID == "" {
		return apply()
	}
	requestID = scope + "\x00" + requestID
	if old, ok := s.replies.Get(requestID); ok {
		return s, old.result
	}
	next, r = apply()
	next.replies = next.replies.With(requestID, Reply{requestID: requestID, result: r, answeredAt: proposedAt})
	return next, r
}

func applyConfig(s State, c ApplyConfig) (State, Result) {
	current := s.config.Revision()
	if c.delta.Base() != current {
		return s, Conflict{revision: current}
	}
	next, err := s.config.Apply(c.delta)
	if err != nil {
		return s, Denied{reason: err.Error()}
	}
	s.config = next.WithRevision(current + 1)
	return s, Accepted{revision: current + 1}
}

func submit(s State, c SubmitJob) (State, Result) {
	if _, ok := s.config.Workspace(c.spec.Workspace()); !ok {
		return s, Denied{reason: fmt.Sprintf("workspace %q does not exist", c.spec.Workspace())}
	}
	if _, ok := s.jobs.Get(c.spec.ID()); ok {
		return s, Denied{reason: fmt.Sprintf("job %q exists", c.spec.ID())}
	}
	s.sequence++
	s = s.withJob(job.New(c.spec))
	return s, Accepted{revision: s.config.Revision(), jobID: c.spec.ID()}
}

func cancel(s State, c CancelJob) (State, Result) {
	j, ok := s.jobs.Get(c.id)
	if !ok || (c.workspace != "" && j.Spec().Workspace() != c.workspace) {
		return s, Denied{reason: fmt.Sprintf("job %q does not exist", c.id)}
	}
	switch j.State() {
	case job.Queued:
		reason := "cancelled before it started"
		if j.Attempts() > 0 {
			reason = "cancelled while it waited to run again"
		}
		j = j.Finish(job.Cancelled, reason).WithEndTime(c.proposedAt)
	case job.Reserved, job.Started:
		j = j.Stop(job.CancelReason)
	case job.Stopping:
		j = j.Stop(job.CancelReason)
	case job.Done:
		return s, Denied{reason: fmt.Sprintf("job %q has ended: %s", c.id, j.Result())}
	}
	s = s.withJob(j)
	return s, Accepted{revision: s.config.Revision(), jobID: c.id}
}

func drain(s State, c DrainEndpoint) (State, Result) {
	if c.drained {
		s.drained = s.drained.With(c.name, true)
	} else {
		s.drained = s.drained.Without(c.name)
	}
	return s, Accepted{revision: s.config.Revision()}
}

func reserve(s State, c ReserveGang) (State, Result) {
	j, ok := s.jobs.Get(c.id)
	if !ok || j.State() != job.Queued {
		return s, Denied{reason: fmt.Sprintf("job %q is not queued", c.id)}
	}
	s.latestFencingToken = s.latestFencingToken.Next()
	s = s.withJob(j.Reserve(s.latestFencingToken, c.members).WithLeaseDuration(c.leaseDuration))
	return s, Accepted{revision: s.config.Revision(), jobID: c.id, fencingToken: s.latestFencingToken}
}

// updateJob replaces an existing job by the result of update if update accepts the change.
func updateJob(s State, id string, update func(job.Job) (job.Job, Result)) (State, Result) {
	j, ok := s.jobs.Get(id)
	if !ok {
		return s, Denied{reason: fmt.Sprintf("job %q does not exist", id)}
	}
	next, r := update(j)
	if a, ok := r.(Accepted); ok {
		s = s.withJob(next)
		return s, Accepted{revision: s.config.Revision(), jobID: id, fencingToken: a.fencingToken}
	}
	return s, r
}

func startGang(j job.Job, c StartGang) (job.Job, Result) {
	if j.State() != job.Reserved || j.FencingToken() != c.fencingToken {
		return j, Denied{reason: "the reservation is not in force"}
	}
	return j.Start(), Accepted{fencingToken: j.FencingToken()}
}

func stopGang(j job.Job, c StopGang) (job.Job, Result) {
	if !j.Placed() || j.FencingToken() != c.fencingToken {
		return j, Denied{reason: "the reservation is not in force"}
	}
	if j.State() == job.Stopping {
		return j, Accepted{fencingToken: j.FencingToken()}
	}
	return j.Stop(c.reason), Accepted{fencingToken: j.FencingToken()}
}

// throttleGang changes the speed by one step, so that a job cannot go from full speed to Throttled: it holds its
// accelerators in Throttling until all members are confirmed to be throttled.
func throttleGang(j job.Job, c ThrottleGang) (job.Job, Result) {
	switch {
	case j.State() != job.Started || j.FencingToken() != c.fencingToken:
		return j, Denied{reason: "the reservation is not in force"}
	case j.Speed() == c.speed:
		return j, Accepted{fencingToken: j.FencingToken()}
	case !c.speed.Follows(j.Speed()):
		return j, Denied{reason: fmt.Sprintf("speed %q does not follow %q", c.speed, j.Speed())}
	}
	return j.Throttle(c.speed, c.reason), Accepted{fencingToken: j.FencingToken()}
}

// requeue denies a second run of a job that may have run and is not idempotent.
func requeue(j job.Job, c RequeueJob) (job.Job, Result) {
	if !j.Placed() || j.FencingToken() != c.fencingToken {
		return j, Denied{reason: "the reservation is not in force"}
	}
	if j.Attempts() > 0 && !j.Spec().Idempotent() {
		return j, Denied{reason: "the job may have run and is not idempotent"}
	}
	return j.Requeue(c.reason, c.notBefore), Accepted{}
}

func endJob(j job.Job, c EndJob) (job.Job, Result) {
	if j.State() == job.Done || (c.fencingToken != 0 && j.FencingToken() != c.fencingToken) || (c.fencingToken == 0 && j.Placed()) {
		return j, Denied{reason: "the job has moved on"}
	}
	return j.Finish(c.result, c.reason).WithEndTime(c.proposedAt), Accepted{}
}

// claim grants at most one open attempt per key; after an attempt with the outcome NotRun it grants another one to the
// same request.
func claim(s State, c ClaimKey) (State, Result) {
	k := claimKey(c.workspace, c.key)
	old, ok := s.claims.Get(k)
	if ok && old.isResend(c) {
		return s, Claimed{attemptNumber: old.attemptNumber}
	}
	if ok && (old.fingerprint != c.fingerprint || old.result.outcome != outcome.NotRun) {
		return s, AlreadyClaimed{claim: old}
	}
	if !ok {
		if old, ok := s.archive.find(digestOf(k)); ok {
			return s, AlreadyClaimed{claim: old.claimFor(c)}
		}
	}
	s.sequence++
	s.claims = s.claims.With(k, Claim{
		workspace: c.workspace, key: c.key, fingerprint: c.fingerprint, attemptID: c.attemptID,
		attemptNumber: s.sequence, deadline: c.deadline, updatedAt: c.proposedAt,
	})
	return s, Claimed{attemptNumber: s.sequence}
}

// settle denies the result of an attempt that is not the latest one of its key, or that has a result.
func settle(s State, c SettleKey) (State, Result) {
	k := claimKey(c.workspace, c.key)
	old, ok := s.claims.Get(k)
	if !ok || old.attemptNumber != c.attemptNumber || old.result.outcome != "" {
		return s, Denied{reason: "the attempt is not open"}
	}
	s.claims = s.claims.With(k, old.WithResult(c.result, c.proposedAt))
	return s, Accepted{revision: s.config.Revision()}
}

// expire drops old jobs, claims and replies. A claim that cannot be repeated moves, without its response, to the archive
// when its response is no longer kept.
func expire(s State, c Expire) State {
	var archived []ArchivedClaim
	s.archive = s.archive.dropBefore(c.recordsBefore)
	s.claims = s.claims.Filter(func(_ string, v Claim) bool {
		if v.updatedAt.Before(c.recordsBefore) {
			return false
		}
		record, ok := v.archived()
		if !ok || !v.updatedAt.Before(c.responsesBefore) {
			return true
		}
		archived = append(archived, record)
		return false
	})
	s.archive = s.archive.with(archived)
	s.replies = s.replies.Filter(func(_ string, v Reply) bool { return !v.answeredAt.Before(c.recordsBefore) })
	s.jobs = s.jobs.Filter(func(_ string, v job.Job) bool { return v.State() != job.Done || !v.EndTime().Before(c.recordsBefore) })
	return s
}

// claimKey returns the table key of a claim; the separator is a zero byte, which occurs neither in workspaces nor in
// keys.
func claimKey(workspace, key string) string { return workspace + "\x00" + key }
