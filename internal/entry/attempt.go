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

// serve runs an admitted request: at most once if it is not idempotent, else with retries.
func (e *Entry) serve(ctx context.Context, r request.Request, t *ticket) request.Result {
	t.tenure.budget.Earn()
	if r.Idempotent() || r.Key() == "" {
		return e.attempts(ctx, r, t)
	}
	return e.claimed(ctx, r, t)
}

// attempts tries endpoints until one answers or a retry is not allowed.
func (e *Entry) attempts(ctx context.Context, r request.Request, t *ticket) (result request.Result) {
	var excluded []string
	mayHaveRun := false
	for n := 1; ; n++ {
		result = e.attempt(ctx, r, t.endpoint)
		v := verdict(result)
		e.judge(t.endpoint, v, time.Now())
		if _, lost := result.(request.Lost); lost {
			mayHaveRun = true
		}
		if n >= e.retryAttempts || !retryable(r, result) || ctx.Err() != nil || !t.tenure.budget.Spend(v) {
			return overall(result, mayHaveRun)
		}
		excluded = append(excluded, t.endpoint.Name())
		if !clock.Pause(ctx, jitter(e.retryPause, n)) {
			return overall(result, mayHaveRun)
		}
		e.metrics.retries.Inc(1)
		next, ok := route.Choose(e.board.fleet.Load(), globalRandom{}, excluded, time.Now())
		if !ok {
			return overall(result, mayHaveRun)
		}
		e.queue.move(t, next)
	}
}

// overall returns the result of all attempts: a refusal of the last one does not undo an earlier one that may have run.
func overall(last request.Result, mayHaveRun bool) request.Result {
	if refused, ok := last.(request.Refused); ok && mayHaveRun {
		return request.NewLost(refused.Reason(), "an earlier attempt may have run; the last one was refused: "+refused.Message())
	}
	return last
}

// retryable reports whether another attempt cannot break the request's promise.
func retryable(r request.Request, result request.Result) bool {
	switch t := result.(type) {
	case request.Answered, request.Unkept:
		return false
	case request.Refused:
		return t.Reason() != outcome.DeadlineExceeded && t.Reason() != outcome.Cancelled
	case request.Lost:
		return r.Idempotent()
	}
	return false
}

// attempt sends the request to one agent and reads the whole answer.
func (e *Entry) attempt(ctx context.Context, r request.Request, target fleet.Endpoint) request.Result {
	ctx, span := e.tracer.Start(ctx, "forward")
	defer span.End()
	if ctx.Err() != nil {
		return e.unsent(ctx)
	}
	s, err := e.agents.Open(ctx, target.Address())
	if err != nil {
		e.logger.Info("agent not reached", "request", r.ID(), "endpoint", target.Name(), "error", err)
		return e.unsent(ctx)
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
			return request.NewRefused(outcome.Incompatible, "the agent did not take up the request", retryLater)
		}
		return lostBy(ctx, r, time.Now())
	}
	target.Load().Report(inFlight)
	return result
}

// unsent returns the refusal of a request that was not sent to an agent.
func (e *Entry) unsent(ctx context.Context) request.Result {
	if refusal := ended(ctx); refusal != nil {
		return refusal
	}
	return request.NewRefused(outcome.ConnectionLost, "the agent cannot be reached", retryLater)
}

// ended returns the refusal of a request whose deadline passed or whose caller left before it was sent, else nil.
func ended(ctx context.Context) request.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.NewRefused(outcome.DeadlineExceeded, "the deadline passed before the request was sent", 0)
	case ctx.Err() != nil:
		return request.NewRefused(outcome.Cancelled, "the caller gave up before the request was sent", 0)
	default:
		return nil
	}
}

// stream is what an exchange needs of a link.Stream.
type stream interface {
	Read(p []byte) (int, error)
	Write(p []byte) (int, error)
}

// exchange leaves the stream open for writing: its end tells the agent that the answer arrived.
func (e *Entry) exchange(
	ctx context.Context, s stream, r request.Request, target fleet.Endpoint,
) (result request.Result, inFlight int64, err error) {
	// An agent that refuses stops reading, so a failed write may have an answer.
	unwritten := wire.WriteForward(s, telemetry.Inject(ctx), wire.NewForward(r, target.Incarnation()), time.Now())
	result, inFlight, err = wire.ReadAnswer(s, r.ID(), e.bodyLimit)
	if err != nil {
		return nil, 0, errors.Join(unwritten, err)
	}
	return result, inFlight, nil
}

func lostBy(ctx context.Context, r request.Request, now time.Time) request.Result {
	switch {
	case !now.Before(r.Deadline()):
		return request.NewLost(outcome.DeadlineExceeded, "no whole answer before the deadline")
	case ctx.Err() != nil:
		return request.NewLost(outcome.Cancelled, "the caller gave up after the request was sent")
	default:
		return request.NewLost(outcome.ConnectionLost, "the connection to the agent was lost before a whole answer")
	}
}

// jitter returns a random pause that doubles with each attempt.
func jitter(base time.Duration, attempt int) time.Duration {
	longest := base << min(attempt, maxPauseDoublings)
	return time.Duration(rand.Int64N(int64(longest) + 1))
}

const maxPauseDoublings = 6
