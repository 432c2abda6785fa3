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
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// callTimeout bounds how long a call may wait for its commit.
const callTimeout = 4 * time.Second

// answer serves one call of another process.
func (s *Scheduler) answer(ctx context.Context, st *link.Stream, trace string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = st.SetDeadline(time.Now().Add(callTimeout))
	c, err := wire.ReadCall(st)
	if err != nil {
		s.logger.Warn("call refused", "peer", st.RemoteAddr().String(), "error", err)
		return
	}
	begun := time.Now()
	r := s.decide(ctx, begun, c)
	s.meters.calls.Inc(1)
	s.meters.answering.Update(time.Since(begun).Microseconds())
	s.logCall(c, r, trace)
	r = r.WithHosts(s.hosts())
	if err = wire.WriteReply(st, r); err != nil {
		s.logger.Debug("reply not delivered", "peer", st.RemoteAddr().String(), "error", err)
		return
	}
	st.Finish()
}

// decide answers a call if this host leads.
func (s *Scheduler) decide(ctx context.Context, now time.Time, c call.Call) call.Reply {
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
	case call.Ping:
		return call.NewReply(call.OK, "")
	}
	return call.NewReply(call.Invalid, "unknown call")
}

// locate finds the queue that a request names, the owner of its key, and the rest of its path.
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

func (s *Scheduler) submit(ctx context.Context, now time.Time, c call.Submit) call.Reply {
	q, owner, id, refusal := s.locate(c.Target())
	if refusal != "" {
		return call.NewReply(refusal, "")
	}
	if id == "" || strings.ContainsAny(id, "/.") {
		return call.NewReply(call.Invalid, "the path names no job")
	}
	if _, err := s.decoder.Spec(id, c.Document()); err != nil {
		return call.NewReply(call.Invalid, err.Error())
	}
	r, err := s.propose(ctx, batch.NewSubmit(id, q.Name(), owner, c.Document(), now))
	if err != nil {
		return s.failure(err)
	}
	switch r := r.(type) {
	case batch.Accepted:
		return call.NewReply(call.OK, "")
	case batch.Rejected:
		return call.NewReply(call.NoQueue, r.Reason())
	case batch.Declared, batch.Cancelled, batch.RunsPlaced, batch.Applied:
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
		// A leader that was replaced without noticing may not know of a newer job.
		if _, err := s.propose(ctx, batch.Barrier{}); err != nil {
			return s.failure(err)
		}
	}
	if j, known := s.owned(q, owner, id); known {
		return call.NewReply(call.OK, "").WithState(string(j.State()))
	}
	return call.NewReply(call.NoJob, "")
}

// owned returns a job if the caller's workspace owns it, or if its queue is open to all.
func (s *Scheduler) owned(q batch.Queue, owner, id string) (j *batch.Job, ok bool) {
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
		return s.failure(err)
	}
	if r, ok := r.(batch.Cancelled); ok && r.Known() {
		return call.NewReply(call.OK, "")
	}
	return call.NewReply(call.NoJob, "")
}

func (s *Scheduler) declare(ctx context.Context, c call.Declare) call.Reply {
	if _, err := s.decoder.Declaration(c.Document()); err != nil {
		return call.NewReply(call.Invalid, err.Error())
	}
	r, err := s.propose(ctx, batch.NewDeclare(c.Document()))
	if err != nil {
		return s.failure(err)
	}
	switch r := r.(type) {
	case batch.Declared:
		return call.NewReply(call.OK, "")
	case batch.Rejected:
		return call.NewReply(call.Invalid, r.Reason())
	case batch.Accepted, batch.Cancelled, batch.RunsPlaced, batch.Applied:
	}
	return call.NewReply(call.Uncertain, "unexpected result of a declaration")
}

// readDeclaration commits a barrier first, so that a leader that was replaced without noticing answers nothing old.
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
		return s.failure(err)
	}
	return call.NewReply(call.OK, "")
}

// The states of a wave.
const (
	waveRunning   = "running"
	waveCompleted = "completed"
)

// readWave commits a barrier first, so that a leader that was replaced without noticing answers nothing old.
func (s *Scheduler) readWave(ctx context.Context, c call.ReadWave) call.Reply {
	if _, err := s.propose(ctx, batch.Barrier{}); err != nil {
		return s.failure(err)
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

// failure returns the reply for a command that was perhaps not committed.
func (s *Scheduler) failure(err error) call.Reply {
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

// logCall writes one line for a call that changed something or was not answered as asked.
func (s *Scheduler) logCall(c call.Call, r call.Reply, trace string) {
	fields := []any{"outcome", string(r.Outcome()), "reason", r.Reason(), "version", s.state.Load().Declaration().Version()}
	if trace != "" {
		fields = append(fields, "trace", trace)
	}
	switch c := c.(type) {
	case call.Submit:
		s.logger.Info("submission", append(fields, "path", c.Target().Path(), "steps", s.outline(c.Target(), r))...)
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
	case call.Ping:
	}
}

// outline returns a word for each step of an accepted job: tasks, accelerators and thousandths of a core of each,
// declared milliseconds, and its constraints.
func (s *Scheduler) outline(p call.Target, r call.Reply) string {
	_, _, id, _ := s.locate(p)
	j, known := s.state.Load().Job(id)
	if r.Outcome() != call.OK || !known {
		return ""
	}
	words := make([]string, len(j.Spec().Steps()))
	for i, e := range j.Spec().Steps() {
		r := e.Resources()
		words[i] = fmt.Sprintf("%dx%dg%dm/%dms", e.Count(), r.Accelerators(), r.Millicores(), e.Estimate().Milliseconds())
		for word, on := range map[string]bool{
			"gang": e.Gang(), "tight": e.TightlyCoupled(), "saves": e.Checkpoints(), "lasts": e.LongRunning(), "fills": e.BestEffort(),
			"rack=" + e.Rack(): e.Rack() != "", "label=" + e.Label(): e.Label() != "",
		} {
			if on {
				words[i] += "," + word
			}
		}
	}
	return strings.Join(words, " ")
}
