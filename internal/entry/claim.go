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
	// claimTimeout covers two elections of up to 1.5 s each, since the first one may end without a leader.
	claimTimeout = 4 * time.Second
	// settleTimeout covers a change of leader, which takes up to 2 s.
	settleTimeout = 5 * time.Second
	settlePause   = 250 * time.Millisecond
	// settleTry keeps one try at a leader that has died from taking up all the time.
	settleTry = time.Second
	// keptAnswerBytes bounds the answer that the ledger keeps for resends.
	keptAnswerBytes = 4 << 10
)

// errNoLeader says that a command was not sent.
var errNoLeader = errors.New("the leader is not known")

// claimed records the attempt in the ledger, runs it if the key is new, and records how it ended.
func (e *Entry) claimed(ctx context.Context, r request.Request, t *ticket) request.Result {
	number, result := e.claim(ctx, r)
	if result != nil {
		return result
	}
	// The caller may hang up, but the ending must be recorded.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline())
	defer cancel()
	result = e.attempts(ctx, r, t)
	e.settle(context.WithoutCancel(ctx), r, number, endingOf(result))
	return result
}

// claim returns the number of the attempt, or the result that the caller gets without one.
func (e *Entry) claim(ctx context.Context, r request.Request) (number uint64, result request.Result) {
	ctx, span := e.tracer.Start(ctx, "claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	now := time.Now()
	got, err := e.propose(ctx, claimOf(r, now))
	if err != nil {
		e.logger.Warn("claim failed", "request", r.ID(), "error", err)
		if !errors.Is(err, errNoLeader) {
			e.releaser.add(r)
		}
		return 0, request.NewRefused(outcome.ControlAway, "the attempt could not be recorded", retryLater)
	}
	switch t := got.(type) {
	case registry.Claimed:
		return t.Number(), nil
	case registry.Known:
		return 0, known(t.Claim(), fingerprint(r), now)
	case registry.Accepted, registry.Conflict, registry.Denied:
		return 0, request.NewRefused(outcome.ControlAway, "the control host gave no claim", retryLater)
	}
	return 0, request.NewRefused(outcome.ControlAway, "the control host gave no claim", retryLater)
}

// known returns what a resend is told about the attempt that holds its key.
func known(c registry.Claim, fingerprint string, now time.Time) request.Result {
	if c.Fingerprint() != fingerprint {
		return request.NewRefused(outcome.KeyReused, "the key was used for another request", 0)
	}
	e := c.Ending()
	switch e.Outcome() {
	case outcome.Ran:
		if e.Kept() {
			return request.NewAnswered(e.Status(), e.Headers(), e.Body())
		}
		return request.NewUnkept(e.Status())
	case outcome.MayHaveRun:
		return request.NewLost(outcome.KeyUnknown, "an attempt with this key may have run")
	case outcome.NotRun:
		return request.NewRefused(outcome.KeyInProgress, "the key is about to be free", retryLater)
	default:
		if now.Before(c.Until()) {
			return request.NewLost(outcome.KeyInProgress, "an attempt with this key is running")
		}
		return request.NewLost(outcome.KeyUnknown, "an attempt with this key may have run")
	}
}

// settle records the ending; a failure leaves the claim open, which is answered as may-have-run.
func (e *Entry) settle(ctx context.Context, r request.Request, number uint64, ending registry.Ending) {
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

func (e *Entry) settleOnce(ctx context.Context, c registry.SettleKey) error {
	ctx, cancel := context.WithTimeout(ctx, settleTry)
	defer cancel()
	_, err := e.propose(ctx, c)
	return err
}

// propose sends a command to the leader and returns the state machine's answer. When the leader is replaced or falls
// silent meanwhile, the command is sent again, which is safe: an attempt is granted once, and an ending is recorded once.
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
		if result, err = e.proposeWhile(ctx, leader, c); err == nil {
			return result, nil
		}
		if !e.proposesAgain(ctx, leader, err) {
			return nil, err
		}
	}
}

// proposesAgain reports whether a command that leader did not answer, for the reason of err, can be sent again. It
// waits until that is of use or ctx ends.
func (e *Entry) proposesAgain(ctx context.Context, leader string, err error) bool {
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

// proposeWhile gives up once another leader is known.
func (e *Entry) proposeWhile(ctx context.Context, leader string, c registry.Command) (result registry.Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if _, err := e.awaitLeader(ctx, leader); err == nil {
			cancel()
		}
	}()
	return e.proposeTo(ctx, leader, c)
}

func (e *Entry) proposeTo(ctx context.Context, leader string, c registry.Command) (result registry.Result, err error) {
	s, err := e.leaders.Open(ctx, leader)
	if err != nil {
		return nil, err
	}
	stop := s.CancelOnDone(ctx)
	defer stop()
	defer s.Cancel()
	if err = wire.WriteOpening(s, wire.NewOpening(wire.KindPropose, telemetry.Inject(ctx))); err != nil {
		return nil, err
	}
	if err = wire.WriteCommand(s, c); err != nil {
		return nil, err
	}
	s.CloseWrite()
	if err = wire.ReadStatus(s); err != nil {
		return nil, err
	}
	return wire.ReadResult(s)
}

// awaitLeader returns the address of a leader other than the given one, waiting until it is known or ctx ends.
func (e *Entry) awaitLeader(ctx context.Context, other string) (address string, err error) {
	for {
		c, changed := e.board.control.Watch()
		if c.leader != "" && c.leader != other {
			return c.leader, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", errNoLeader
		}
	}
}

func endingOf(result request.Result) registry.Ending {
	switch t := result.(type) {
	case request.Answered:
		ending := registry.NewEnding(outcome.Ran, t.Status())
		if len(t.Body()) <= keptAnswerBytes {
			ending = ending.WithAnswer(t.Headers(), t.Body())
		}
		return ending
	case request.Unkept:
		return registry.NewEnding(outcome.Ran, t.Status())
	case request.Refused:
		return registry.NewEnding(outcome.NotRun, 0)
	case request.Lost:
		return registry.NewEnding(outcome.MayHaveRun, 0)
	}
	return registry.NewEnding(outcome.MayHaveRun, 0)
}

// fingerprint tells two payloads under one key apart.
func fingerprint(r request.Request) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\n%s\n%d\n", r.Method(), r.Target(), len(r.Body()))
	_, _ = h.Write(r.Body())
	return hex.EncodeToString(h.Sum(nil))
}
