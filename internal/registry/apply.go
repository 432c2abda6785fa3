package registry

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Apply returns the next state and the answer; the same commands in the same order give the same states.
func Apply(s State, c Command) (next State, r Result) {
	switch c := c.(type) {
	case ApplyConfig:
		return once(s, "apply", c.requestID, c.at, func() (State, Result) { return applyConfig(s, c) })
	case SubmitJob:
		return once(s, "submit/"+c.spec.Workspace(), c.requestID, c.at, func() (State, Result) { return submit(s, c) })
	case CancelJob:
		return once(s, "cancel/"+c.workspace, c.requestID, c.at, func() (State, Result) { return cancel(s, c) })
	case DrainEndpoint:
		return once(s, "drain", c.requestID, c.at, func() (State, Result) { return drain(s, c) })
	case ReserveGang:
		return reserve(s, c)
	case StartGang:
		return placed(s, c.id, func(j job.Job) (job.Job, Result) { return startGang(j, c) })
	case StopGang:
		return placed(s, c.id, func(j job.Job) (job.Job, Result) { return stopGang(j, c) })
	case ThrottleGang:
		return placed(s, c.id, func(j job.Job) (job.Job, Result) { return throttleGang(j, c) })
	case RequeueJob:
		return placed(s, c.id, func(j job.Job) (job.Job, Result) { return requeue(j, c) })
	case EndJob:
		return placed(s, c.id, func(j job.Job) (job.Job, Result) { return endJob(j, c) })
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

// once gives a resend the first answer without a second effect. Requests of other kinds and of other
// workspaces are told apart, so that nobody gets an answer that was meant for somebody else.
func once(s State, scope, requestID string, at time.Time, f func() (State, Result)) (next State, r Result) {
	if requestID == "" {
		return f()
	}
	requestID = scope + "\x00" + requestID
	if old, ok := s.replies.Get(requestID); ok {
		return s, old.result
	}
	next, r = f()
	next.replies = next.replies.With(requestID, Reply{requestID: requestID, result: r, at: at})
	return next, r
}

func applyConfig(s State, c ApplyConfig) (State, Result) {
	now := s.config.Revision()
	if c.delta.Base() != now {
		return s, Conflict{revision: now}
	}
	next, err := s.config.Apply(c.delta)
	if err != nil {
		return s, Denied{reason: err.Error()}
	}
	s.config = next.WithRevision(now + 1)
	return s, Accepted{revision: now + 1}
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
		j = j.Finish(job.Cancelled, reason).WithEndTime(c.at)
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
	s.fence = s.fence.Next()
	s = s.withJob(j.Reserve(s.fence, c.members).WithLeaseDuration(c.length))
	return s, Accepted{revision: s.config.Revision(), jobID: c.id, fence: s.fence}
}

// placed changes one job that exists.
func placed(s State, id string, f func(job.Job) (job.Job, Result)) (State, Result) {
	j, ok := s.jobs.Get(id)
	if !ok {
		return s, Denied{reason: fmt.Sprintf("job %q does not exist", id)}
	}
	next, r := f(j)
	if a, ok := r.(Accepted); ok {
		s = s.withJob(next)
		return s, Accepted{revision: s.config.Revision(), jobID: id, fence: a.fence}
	}
	return s, r
}

func startGang(j job.Job, c StartGang) (job.Job, Result) {
	if j.State() != job.Reserved || j.FencingToken() != c.fence {
		return j, Denied{reason: "the reservation is not in force"}
	}
	return j.Start(), Accepted{fence: j.FencingToken()}
}

func stopGang(j job.Job, c StopGang) (job.Job, Result) {
	if !j.Placed() || j.FencingToken() != c.fence {
		return j, Denied{reason: "the reservation is not in force"}
	}
	if j.State() == job.Stopping {
		return j, Accepted{fence: j.FencingToken()}
	}
	return j.Stop(c.reason), Accepted{fence: j.FencingToken()}
}

// throttleGang changes the speed one step; a job holds its accelerators until all members are known to be throttled.
func throttleGang(j job.Job, c ThrottleGang) (job.Job, Result) {
	switch {
	case j.State() != job.Started || j.FencingToken() != c.fence:
		return j, Denied{reason: "the reservation is not in force"}
	case j.Speed() == c.speed:
		return j, Accepted{fence: j.FencingToken()}
	case !c.speed.Follows(j.Speed()):
		return j, Denied{reason: fmt.Sprintf("speed %q does not follow %q", c.speed, j.Speed())}
	}
	return j.Throttle(c.speed, c.reason), Accepted{fence: j.FencingToken()}
}

// requeue refuses a second start of a job that may have run and is not idempotent.
func requeue(j job.Job, c RequeueJob) (job.Job, Result) {
	if !j.Placed() || j.FencingToken() != c.fence {
		return j, Denied{reason: "the reservation is not in force"}
	}
	if j.Attempts() > 0 && !j.Spec().Idempotent() {
		return j, Denied{reason: "the job may have run and is not idempotent"}
	}
	return j.Requeue(c.reason, c.notBefore), Accepted{}
}

func endJob(j job.Job, c EndJob) (job.Job, Result) {
	if j.State() == job.Done || (c.fence != 0 && j.FencingToken() != c.fence) || (c.fence == 0 && j.Placed()) {
		return j, Denied{reason: "the job has moved on"}
	}
	return j.Finish(c.result, c.reason).WithEndTime(c.at), Accepted{}
}

// claim grants one open attempt for a key; an attempt that is known not to have run may be repeated.
func claim(s State, c ClaimKey) (State, Result) {
	k := claimKey(c.workspace, c.key)
	old, ok := s.claims.Get(k)
	if ok && old.repeats(c) {
		return s, Claimed{number: old.number}
	}
	if ok && (old.fingerprint != c.fingerprint || old.ending.outcome != outcome.NotRun) {
		return s, AlreadyClaimed{claim: old}
	}
	if !ok {
		if old, ok := s.archive.find(digestOf(k)); ok {
			return s, AlreadyClaimed{claim: old.claim(c)}
		}
	}
	s.sequence++
	s.claims = s.claims.With(k, Claim{
		workspace: c.workspace, key: c.key, fingerprint: c.fingerprint, attempt: c.attempt,
		number: s.sequence, until: c.until, at: c.at,
	})
	return s, Claimed{number: s.sequence}
}

// settle ignores the ending of an attempt that is not the latest one.
func settle(s State, c SettleKey) (State, Result) {
	k := claimKey(c.workspace, c.key)
	old, ok := s.claims.Get(k)
	if !ok || old.number != c.number || old.ending.outcome != "" {
		return s, Denied{reason: "the attempt is not open"}
	}
	s.claims = s.claims.With(k, old.WithResult(c.ending, c.at))
	return s, Accepted{revision: s.config.Revision()}
}

// expire drops what is too old, and moves claims that ended for good into the archive, without their answers.
func expire(s State, c Expire) State {
	var sealed []ArchivedClaim
	s.archive = s.archive.since(c.before)
	s.claims = s.claims.Filter(func(_ string, v Claim) bool {
		if v.at.Before(c.before) {
			return false
		}
		record, ok := v.seal()
		if !ok || !v.at.Before(c.answers) {
			return true
		}
		sealed = append(sealed, record)
		return false
	})
	s.archive = s.archive.with(sealed)
	s.replies = s.replies.Filter(func(_ string, v Reply) bool { return !v.at.Before(c.before) })
	s.jobs = s.jobs.Filter(func(_ string, v job.Job) bool { return v.State() != job.Done || !v.EndTime().Before(c.before) })
	return s
}

// claimKey joins workspace and key; a zero byte occurs in neither.
func claimKey(workspace, key string) string { return workspace + "\x00" + key }
