package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/route"
	"rosemarywind.example/rosemarywind/internal/telemetry"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// serve forwards an admitted request: at most once if it is not idempotent, else with retries. A request that is not
// idempotent and has a key is claimed in the ledger first, so that it does not run again when it is resent.
func (e *Entry) serve(ctx context.Context, r request.Request, p *permit) request.Result {
	p.state.budget.Deposit()
	if r.Idempotent() || r.Key() == "" {
		return e.runAttempts(ctx, r, p)
	}
	return e.runClaimed(ctx, r, p)
}

// runAttempts sends the request to one endpoint after another until one answers or no further retry is allowed.
func (e *Entry) runAttempts(ctx context.Context, r request.Request, p *permit) (result request.Result) {
	var excluded []string
	mayHaveRun := false
	for n := 1; ; n++ {
		result = e.attempt(ctx, r, p.endpoint)
		v := verdict(result)
		e.recordVerdict(p.endpoint, v, time.Now())
		if _, lost := result.(request.Lost); lost {
			mayHaveRun = true
		}
		if n >= e.retryAttempts || !retryable(r, result) || ctx.Err() != nil || !p.state.budget.TryWithdraw(v) {
			return overallResult(result, mayHaveRun)
		}
		excluded = append(excluded, p.endpoint.Name())
		if !clock.Pause(ctx, jitter(e.retryPause, n)) {
			return overallResult(result, mayHaveRun)
		}
		e.metrics.retries.Inc(1)
		next, ok := route.Choose(e.board.fleet.Load(), globalRandom{}, excluded, time.Now())
		if !ok {
			return overallResult(result, mayHaveRun)
		}
		e.queue.reassign(p, next)
	}
}

// overallResult returns the result of all attempts given the result of the last one. If the last attempt was refused
// but an earlier one may have run, the request may have run.
func overallResult(last request.Result, mayHaveRun bool) request.Result {
	if refused, ok := last.(request.Refused); ok && mayHaveRun {
		return request.NewLost(refused.Reason(),
			"an earlier attempt may have run; the last one was refused: "+refused.Message())
	}
	return last
}

// retryable reports whether the request may be sent again after result: always after a refusal that is not final, and
// after a lost answer only if the request is idempotent.
func retryable(r request.Request, result request.Result) bool {
	switch t := result.(type) {
	case request.Answered, request.AnswerExpired:
		return false
	case request.Refused:
		return t.Reason() != outcome.DeadlineExceeded && t.Reason() != outcome.Cancelled
	case request.Lost:
		return r.Idempotent()
	}
	return false
}

// attempt sends the request to the agent of target and reads the complete answer.
func (e *Entry) attempt(ctx context.Context, r request.Request, target fleet.Endpoint) request.Result {
	ctx, span := e.tracer.Start(ctx, "forward")
	defer span.End()
	if ctx.Err() != nil {
		return e.unsentRefusal(ctx)
	}
	s, err := e.agents.Open(ctx, target.Address())
	if err != nil {
		e.logger.Info("cannot reach agent", "request", r.ID(), "endpoint", target.Name(), "error", err)
		return e.unsentRefusal(ctx)
	}
	stop := s.CancelOnDone(ctx)
	defer stop()
	_ = s.SetDeadline(r.Deadline())
	result, inFlight, err := e.exchange(ctx, s, r, target)
	if err == nil {
		s.Finish()
	} else {
		s.Cancel()
		e.logger.Warn("exchange failed", "request", r.ID(), "endpoint", target.Name(), "error", err)
		if link.NotServed(err) {
			return request.NewRefused(outcome.NotTakenUp, "the agent did not take up the request", retryLater)
		}
		return lostResult(ctx, r, time.Now())
	}
	target.Load().RecordTotal(inFlight)
	return result
}

// unsentRefusal returns the refusal of a request for which no stream to the agent was opened.
func (e *Entry) unsentRefusal(ctx context.Context) request.Result {
	if refusal := contextRefusal(ctx); refusal != nil {
		return refusal
	}
	return request.NewRefused(outcome.ConnectionLost, "the agent cannot be reached", retryLater)
}

// contextRefusal returns the refusal of an unsent request whose deadline has passed or whose caller has disconnected,
// or nil if ctx has not ended.
func contextRefusal(ctx context.Context) request.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.NewRefused(outcome.DeadlineExceeded, "the deadline passed before the request was sent", 0)
	case ctx.Err() != nil:
		return request.NewRefused(outcome.Cancelled, "the caller gave up before the request was sent", 0)
	default:
		return nil
	}
}

// stream is the part of link.Stream that exchange uses.
type stream interface {
	Read(p []byte) (int, error)
	Write(p []byte) (int, error)
}

// exchange writes the request to s and reads the answer and the number of requests in flight at the agent. It leaves s
// open for writing, since the end of the stream tells the agent that the answer has arrived.
func (e *Entry) exchange(
	ctx context.Context, s stream, r request.Request, target fleet.Endpoint,
) (result request.Result, inFlight int64, err error) {
	// An agent that refuses a request stops reading it, so an answer may exist although the write failed.
	writeErr := wire.WriteForward(s, telemetry.Inject(ctx), wire.NewForward(r, target.Incarnation()), time.Now())
	result, inFlight, err = wire.ReadAnswer(s, r.ID(), e.bodyLimit)
	if err != nil {
		return nil, 0, errors.Join(writeErr, err)
	}
	return result, inFlight, nil
}

// lostResult returns the loss of a request that was sent but not answered completely.
func lostResult(ctx context.Context, r request.Request, now time.Time) request.Result {
	switch {
	case !now.Before(r.Deadline()):
		return request.NewLost(outcome.DeadlineExceeded, "no whole answer before the deadline")
	case ctx.Err() != nil:
		return request.NewLost(outcome.Cancelled, "the caller gave up after the request was sent")
	default:
		return request.NewLost(outcome.ConnectionLost, "the connection to the agent was lost before a whole answer")
	}
}

// jitter returns a random pause between 0 and an upper bound that doubles with each attempt.
func jitter(base time.Duration, attempt int) time.Duration {
	maxPause := base << min(attempt, maxPauseDoublings)
	return time.Duration(rand.Int64N(int64(maxPause) + 1))
}

// maxPauseDoublings bounds the pause between attempts to 64 times the base pause.
const maxPauseDoublings = 6
