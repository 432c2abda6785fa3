package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/telemetry"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const (
	// claimTimeout covers two elections of up to 1.5 s each, since the first may end without electing a leader.
	claimTimeout = 4 * time.Second
	// settleTimeout covers a change of leader, which takes up to 2 s.
	settleTimeout = 5 * time.Second
	settlePause   = 250 * time.Millisecond
	// settleAttemptTimeout bounds one proposal, so that a leader that has crashed does not use up all of settleTimeout.
	settleAttemptTimeout = time.Second
	// maxKeptAnswerBytes is the size of the largest body of an answer that the ledger keeps for resends.
	maxKeptAnswerBytes = 4 << 10
)

// errNoLeader is returned for a command that was not sent because no leader is known.
var errNoLeader = errors.New("the leader is not known")

// runClaimed claims the request's key in the ledger, runs the request if the key is free, and records the ending.
func (e *Entry) runClaimed(ctx context.Context, r request.Request, p *permit) request.Result {
	number, result := e.claim(ctx, r)
	if result != nil {
		return result
	}
	// The ending is recorded even if the caller disconnects.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline())
	defer cancel()
	result = e.runAttempts(ctx, r, p)
	e.settle(context.WithoutCancel(ctx), r, number, endingOf(result))
	return result
}

// claim claims the request's key and returns the number of the attempt, or the result for the caller if the key is not
// free or the claim failed.
func (e *Entry) claim(ctx context.Context, r request.Request) (number uint64, result request.Result) {
	ctx, span := e.tracer.Start(ctx, "claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	now := time.Now()
	got, err := e.propose(ctx, claimCommand(r, now))
	if err != nil {
		e.logger.Warn("claim failed", "request", r.ID(), "error", err)
		if !errors.Is(err, errNoLeader) {
			e.releaser.add(r)
		}
		return 0, request.NewRefused(outcome.ControlUnavailable, "the attempt could not be recorded", retryLater)
	}
	switch t := got.(type) {
	case registry.Claimed:
		return t.AttemptNumber(), nil
	case registry.AlreadyClaimed:
		return 0, resendResult(t.Claim(), fingerprint(r), now)
	case registry.Accepted, registry.Conflict, registry.Denied:
		return 0, request.NewRefused(outcome.ControlUnavailable, "the control host gave no claim", retryLater)
	}
	return 0, request.NewRefused(outcome.ControlUnavailable, "the control host gave no claim", retryLater)
}

// resendResult returns the result of a resend whose key is held by an earlier claim.
func resendResult(c registry.Claim, fingerprint string, now time.Time) request.Result {
	if c.Fingerprint() != fingerprint {
		return request.NewRefused(outcome.KeyReused, "the key was used for another request", 0)
	}
	e := c.Result()
	switch e.Outcome() {
	case outcome.Ran:
		if e.HasResponse() {
			return request.NewAnswered(e.Status(), e.Headers(), e.Body())
		}
		return request.NewAnswerExpired(e.Status())
	case outcome.MayHaveRun:
		return request.NewLost(outcome.KeyOutcomeUnknown, "an attempt with this key may have run")
	case outcome.NotRun:
		return request.NewRefused(outcome.KeyInProgress, "the key is about to be free", retryLater)
	default:
		if now.Before(c.Deadline()) {
			return request.NewLost(outcome.KeyInProgress, "an attempt with this key is running")
		}
		return request.NewLost(outcome.KeyOutcomeUnknown, "an attempt with this key may have run")
	}
}

// settle records the ending of an attempt, with retries for settleTimeout. If that fails, the claim stays open and
// resends get the outcome may-have-run.
func (e *Entry) settle(ctx context.Context, r request.Request, number uint64, ending registry.AttemptResult) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		err := e.settleOnce(ctx, registry.NewSettleKey(r.Workspace(), r.Key(), number, ending, time.Now()))
		if err == nil {
			return
		}
		if !clock.Pause(ctx, settlePause) {
			e.logger.Error("ending not recorded", "request", r.ID(), "error", err)
			return
		}
	}
}

// settleOnce proposes c once, for at most settleAttemptTimeout.
func (e *Entry) settleOnce(ctx context.Context, c registry.SettleKey) error {
	ctx, cancel := context.WithTimeout(ctx, settleAttemptTimeout)
	defer cancel()
	_, err := e.propose(ctx, c)
	return err
}

// propose sends a command to the leader and returns the result from the state machine. If the leader is replaced or
// becomes unreachable before it answers, the command is sent again. This is safe, since the state machine grants an
// attempt once and records an ending once.
func (e *Entry) propose(ctx context.Context, c registry.Command) (result registry.Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("propose: %w", err)
		}
	}()
	for sent := false; ; sent = true {
		leader, unknown := e.awaitLeader(ctx, "")
		if unknown != nil {
			if !sent {
				err = unknown
			}
			return nil, err
		}
		if result, err = e.proposeUntilReplaced(ctx, leader, c); err == nil {
			return result, nil
		}
		if !e.awaitProposalRetry(ctx, leader, err) {
			return nil, err
		}
	}
}

// awaitProposalRetry reports whether to send a command again after leader failed with err. It waits until another
// leader is known, or for settlePause if leader is unreachable, or until ctx ends.
func (e *Entry) awaitProposalRetry(ctx context.Context, leader string, err error) bool {
	if c := e.board.control.Load(); c.leader != "" && c.leader != leader {
		return ctx.Err() == nil
	}
	var status *wire.StatusError
	if errors.As(err, &status) && status.Code() == wire.NotLeader {
		_, err = e.awaitLeader(ctx, leader)
		return err == nil
	}
	return link.Unreachable(err) && clock.Pause(ctx, settlePause)
}

// proposeUntilReplaced sends a command to leader and gives up as soon as another leader is known.
func (e *Entry) proposeUntilReplaced(
	ctx context.Context, leader string, c registry.Command,
) (result registry.Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if _, err := e.awaitLeader(ctx, leader); err == nil {
			cancel()
		}
	}()
	return e.proposeTo(ctx, leader, c)
}

// proposeTo sends a command to leader and waits for the result.
func (e *Entry) proposeTo(ctx context.Context, leader string, c registry.Command) (result registry.Result, err error) {
	s, err := e.leaders.Open(ctx, leader)
	if err != nil {
		return nil, err
	}
	stop := s.CancelOnDone(ctx)
	defer stop()
	defer s.Cancel()
	// A host that has answered stops reading, so a result may exist although the write failed.
	writeErr := wire.WriteOpening(s, wire.NewOpening(wire.KindPropose, telemetry.Inject(ctx)))
	if writeErr == nil {
		writeErr = wire.WriteCommand(s, c)
	}
	s.CloseWrite()
	if err = wire.ReadStatus(s); err == nil {
		result, err = wire.ReadResult(s)
	}
	if err != nil {
		return nil, errors.Join(err, writeErr)
	}
	return result, nil
}

// awaitLeader waits until a leader other than previous is known and returns its address, or errNoLeader once ctx ends.
func (e *Entry) awaitLeader(ctx context.Context, previous string) (address string, err error) {
	for {
		c, changed := e.board.control.Watch()
		if c.leader != "" && c.leader != previous {
			return c.leader, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", errNoLeader
		}
	}
}

// endingOf returns the ending to record in the ledger for a result.
func endingOf(result request.Result) registry.AttemptResult {
	switch t := result.(type) {
	case request.Answered:
		ending := registry.NewAttemptResult(outcome.Ran, t.Status())
		if len(t.Body()) <= maxKeptAnswerBytes {
			ending = ending.WithResponse(t.Headers(), t.Body())
		}
		return ending
	case request.AnswerExpired:
		return registry.NewAttemptResult(outcome.Ran, t.Status())
	case request.Refused:
		return registry.NewAttemptResult(outcome.NotRun, 0)
	case request.Lost:
		return registry.NewAttemptResult(outcome.MayHaveRun, 0)
	}
	return registry.NewAttemptResult(outcome.MayHaveRun, 0)
}

// fingerprint returns a hash of the method, target and body, by which a key that is reused for another request is
// detected.
func fingerprint(r request.Request) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\n%s\n%d\n", r.Method(), r.Target(), len(r.Body()))
	_, _ = h.Write(r.Body())
	return hex.EncodeToString(h.Sum(nil))
}
