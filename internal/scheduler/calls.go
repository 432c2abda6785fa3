package scheduler

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/call"
	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/intake"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// callTimeout bounds a call, including the commit of its command.
const callTimeout = 4 * time.Second

// serveCall reads a call of another process and writes the reply.
func (s *Scheduler) serveCall(ctx context.Context, st *link.Stream, trace string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = st.SetDeadline(time.Now().Add(callTimeout))
	limited := s.callLimits.begin(ctx, st)
	defer limited.release()
	c, err := wire.ReadCall(limited)
	if refusal := intake.RefusalOf(err); refusal != nil {
		s.metrics.refused.Inc(1)
		s.reply(st, refusedCall(refusal))
		return
	}
	if err != nil {
		s.logger.Warn("call refused", "peer", st.RemoteAddr().String(), "error", err)
		return
	}
	startedAt := time.Now()
	r := s.execute(ctx, startedAt, c)
	s.metrics.calls.Inc(1)
	s.metrics.answering.Update(time.Since(startedAt).Microseconds())
	s.logCall(c, r, trace)
	s.reply(st, r)
}

// reply writes the reply to a call.
func (s *Scheduler) reply(st *link.Stream, r call.Reply) {
	if err := wire.WriteReply(st, r.WithHosts(s.addresses())); err != nil {
		s.logger.Debug("reply not delivered", "peer", st.RemoteAddr().String(), "error", err)
		return
	}
	st.Finish()
}

// execute carries out a call if this host is the leader.
func (s *Scheduler) execute(ctx context.Context, now time.Time, c call.Call) call.Reply {
	if !s.node.Status().Load().Ready(clock.Now()) {
		return call.NewReply(call.NotLeader, "this control host does not lead")
	}
	switch c := c.(type) {
	case call.Submit:
		return s.submit(ctx, now, c)
	case call.Read:
		return s.read(ctx, c)
	case call.Cancel:
		return s.cancel(ctx, now, c)
	case call.Declare:
		return s.declare(ctx, c)
	case call.ReadDeclaration:
		return s.readDeclaration(ctx)
	case call.StartWave:
		return s.startWave(ctx, c)
	case call.ReadWave:
		return s.readWave(ctx, c)
	case call.Evacuate:
		return s.evacuate(ctx, now, c)
	case call.Reopen:
		return s.reopen(ctx, c)
	case call.Ping:
		return call.NewReply(call.OK, "")
	}
	return call.NewReply(call.Invalid, "unknown call")
}

// locate returns the queue at a request's path, the workspace that owns the request's key, and the rest of the path.
func (s *Scheduler) locate(p call.Target) (q batch.Queue, owner, rest string, refusal call.Outcome) {
	d := s.state.Load().Declaration()
	if d.Version() == 0 {
		return q, "", "", call.Unavailable
	}
	q, rest, ok := d.QueueAt(p.Host(), p.Path())
	if !ok {
		return q, "", "", call.NoQueue
	}
	owner, known := d.Owner(p.Key())
	if !known && !q.Public() {
		return q, "", "", call.Unauthorized
	}
	return q, owner, rest, ""
}

// fullRetryAfter is a time after which jobs have usually ended and been forgotten.
const fullRetryAfter = 30 * time.Second

func (s *Scheduler) submit(ctx context.Context, now time.Time, c call.Submit) call.Reply {
	q, owner, id, refusal := s.locate(c.Target())
	if refusal != "" {
		return call.NewReply(refusal, "")
	}
	if id == "" || strings.ContainsAny(id, "/.") {
		return call.NewReply(call.Invalid, "the path names no job")
	}
	spec, err := s.decoder.Spec(id, c.Document())
	// A job that was accepted before is acknowledged again.
	state := s.state.Load()
	_, known := state.Job(id)
	if err == nil && !known {
		err = spec.CheckSubmission()
	}
	if err != nil {
		return call.NewReply(call.Invalid, err.Error())
	}
	if !known && state.Full(spec, len(c.Document()), owner, s.jobBytes) {
		s.metrics.refused.Inc(1)
		return call.NewReply(call.Refused, "the jobs that are stored leave no room for another one").WithRetryAfter(fullRetryAfter)
	}
	r, err := s.propose(ctx, batch.NewSubmit(id, q.Name(), owner, c.Document(), now))
	if err != nil {
		return s.failureReply(err)
	}
	switch r := r.(type) {
	case batch.Accepted:
		return call.NewReply(call.OK, "")
	case batch.Undeclared:
		return call.NewReply(call.NoQueue, "the queue was removed before the job was committed")
	case batch.Rejected:
		return call.NewReply(call.Invalid, r.Reason())
	case batch.Declared, batch.Cancelled, batch.RunsPlaced, batch.CrashesRecorded, batch.Applied:
	}
	return call.NewReply(call.Uncertain, "unexpected result of a submission")
}

func (s *Scheduler) read(ctx context.Context, c call.Read) call.Reply {
	q, owner, id, refusal := s.locate(c.Target())
	if refusal != "" {
		return call.NewReply(refusal, "")
	}
	if id == "" {
		return call.NewReply(call.OK, "").WithPending(s.state.Load().Pending(q.Name()))
	}
	if _, known := s.state.Load().Job(id); !known {
		// A leader that has been replaced without noticing may not know of a newer job.
		if _, err := s.propose(ctx, batch.Barrier{}); err != nil {
			return s.failureReply(err)
		}
	}
	if j, known := s.ownedJob(q, owner, id); known {
		return call.NewReply(call.OK, "").WithState(string(j.State()))
	}
	return call.NewReply(call.NoJob, "")
}

// ownedJob returns a job if it belongs to the given workspace or its queue is open to all.
func (s *Scheduler) ownedJob(q batch.Queue, owner, id string) (j *batch.Job, ok bool) {
	j, known := s.state.Load().Job(id)
	return j, known && (q.Public() || j.Workspace() == owner)
}

func (s *Scheduler) cancel(ctx context.Context, now time.Time, c call.Cancel) call.Reply {
	q, owner, id, refusal := s.locate(c.Target())
	if refusal != "" {
		return call.NewReply(refusal, "")
	}
	if j, known := s.state.Load().Job(id); known && !q.Public() && j.Workspace() != owner {
		return call.NewReply(call.NoJob, "the job belongs to another workspace")
	}
	r, err := s.propose(ctx, batch.NewCancel(id, now))
	if err != nil {
		return s.failureReply(err)
	}
	if r, ok := r.(batch.Cancelled); ok && r.Known() {
		return call.NewReply(call.OK, "")
	}
	return call.NewReply(call.NoJob, "")
}

func (s *Scheduler) declare(ctx context.Context, c call.Declare) call.Reply {
	s.decoding.Lock()
	_, err := s.decoder.Declaration(c.Document())
	s.decoding.Unlock()
	if err != nil {
		return call.NewReply(call.Invalid, err.Error())
	}
	r, err := s.propose(ctx, batch.NewDeclare(c.Document()))
	if err != nil {
		return s.failureReply(err)
	}
	switch r := r.(type) {
	case batch.Declared:
		return call.NewReply(call.OK, "")
	case batch.Rejected:
		return call.NewReply(call.Invalid, r.Reason())
	case batch.Accepted, batch.Undeclared, batch.Cancelled, batch.RunsPlaced, batch.CrashesRecorded, batch.Applied:
	}
	return call.NewReply(call.Uncertain, "unexpected result of a declaration")
}

// readDeclaration commits a barrier first, so that a leader that has been replaced without noticing returns no stale
// declaration.
func (s *Scheduler) readDeclaration(ctx context.Context) call.Reply {
	if _, err := s.propose(ctx, batch.Barrier{}); err != nil {
		return call.NewReply(call.Unavailable, err.Error())
	}
	document := s.state.Load().Document()
	if document == nil {
		return call.NewReply(call.Unavailable, "nothing was declared yet")
	}
	return call.NewReply(call.OK, "").WithDocument(document)
}

func (s *Scheduler) startWave(ctx context.Context, c call.StartWave) call.Reply {
	if c.Wave().MaxDown() < 1 || len(c.Wave().Machines()) == 0 {
		return call.NewReply(call.Invalid, "a wave needs a machine, and must let one be down")
	}
	if _, err := s.propose(ctx, batch.NewStartWave(c.Wave())); err != nil {
		return s.failureReply(err)
	}
	return call.NewReply(call.OK, "")
}

// States of a wave in replies.
const (
	waveRunning   = "running"
	waveCompleted = "completed"
)

// readWave commits a barrier first, so that a leader that has been replaced without noticing returns no stale state.
func (s *Scheduler) readWave(ctx context.Context, c call.ReadWave) call.Reply {
	if _, err := s.propose(ctx, batch.Barrier{}); err != nil {
		return s.failureReply(err)
	}
	w, known := s.state.Load().Wave(c.Number())
	switch {
	case !known:
		return call.NewReply(call.NoQueue, "no such wave")
	case w.AllBegun():
		return call.NewReply(call.OK, "").WithState(waveCompleted)
	}
	return call.NewReply(call.OK, "").WithState(waveRunning)
}

// failureReply returns the reply for a command whose commit failed or has an unknown outcome.
func (s *Scheduler) failureReply(err error) call.Reply {
	var unknown *driver.UnknownOutcomeError
	if errors.As(err, &unknown) || errors.Is(err, context.DeadlineExceeded) {
		return call.NewReply(call.Uncertain, err.Error())
	}
	var moved *driver.NotLeaderError
	if errors.As(err, &moved) {
		return call.NewReply(call.NotLeader, err.Error())
	}
	return call.NewReply(call.Uncertain, err.Error())
}

// logCall logs calls other than pings; reads only if they fail.
func (s *Scheduler) logCall(c call.Call, r call.Reply, trace string) {
	fields := []any{"outcome", string(r.Outcome()), "reason", r.Reason(), "version", s.state.Load().Declaration().Version()}
	if trace != "" {
		fields = append(fields, "trace", trace)
	}
	switch c := c.(type) {
	case call.Submit:
		s.logger.Info("submission", append(fields, "path", c.Target().Path(), "steps", s.formatSteps(c.Target(), r))...)
	case call.Cancel:
		s.logger.Info("cancellation", append(fields, "path", c.Target().Path())...)
	case call.Declare:
		s.logger.Info("declaration", append(fields, "bytes", len(c.Document()))...)
	case call.Read:
		if r.Outcome() != call.OK {
			s.logger.Info("read", append(fields, "path", c.Target().Path(), "host", c.Target().Host())...)
		}
	case call.ReadDeclaration:
		s.logger.Info("declaration read", fields...)
	case call.StartWave:
		s.logger.Info("wave", append(fields, "wave", c.Wave().Number(), "machines", len(c.Wave().Machines()), "most", c.Wave().MaxDown())...)
	case call.ReadWave:
		s.logger.Info("wave read", append(fields, "wave", c.Number(), "state", r.State())...)
	case call.Evacuate:
		s.logger.Info("evacuation", append(fields, "zone", c.Zone(), "cause", c.Reason())...)
	case call.Reopen:
		s.logger.Info("evacuation ends", append(fields, "zone", c.Zone())...)
	case call.Ping:
	}
}

// maxLoggedSteps bounds the steps of a job in a log line; a job can have thousands.
const maxLoggedSteps = 16

// formatSteps returns one word per step of an accepted job, for the first maxLoggedSteps of them: its number of tasks, accelerators and thousandths of a
// core per task, declared duration in milliseconds, and constraints. It returns an empty string if the call failed.
func (s *Scheduler) formatSteps(p call.Target, r call.Reply) string {
	_, _, id, _ := s.locate(p)
	j, known := s.state.Load().Job(id)
	if r.Outcome() != call.OK || !known {
		return ""
	}
	all := j.Spec().Steps()
	steps := make([]string, min(len(all), maxLoggedSteps), maxLoggedSteps+1)
	for i, e := range all[:len(steps)] {
		r := e.Resources()
		steps[i] = fmt.Sprintf("%dx%dg%dm/%dms", e.Count(), r.Accelerators(), r.Millicores(), e.Estimate().Milliseconds())
		for constraint, set := range map[string]bool{
			"gang": e.Gang(), "tight": e.TightlyCoupled(), "saves": e.Checkpoints(), "lasts": e.LongRunning(), "fills": e.BestEffort(),
			"rack=" + e.Rack(): e.Rack() != "", "label=" + e.Label(): e.Label() != "",
		} {
			if set {
				steps[i] += "," + constraint
			}
		}
	}
	if len(all) > len(steps) {
		steps = append(steps, fmt.Sprintf("and %d more", len(all)-len(steps)))
	}
	return strings.Join(steps, " ")
}
