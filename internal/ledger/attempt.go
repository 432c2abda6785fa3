package ledger

import (
	"slices"
	"time"
)

// AttemptPhase is the round of requests that an election attempt has reached.
type AttemptPhase string

// Phases of an attempt. After a transfer of leadership an attempt begins with the vote.
const (
	PreVotePhase AttemptPhase = "pre-vote"
	VotePhase    AttemptPhase = "vote"
)

// AttemptOutcome is how an election attempt ended.
type AttemptOutcome string

// Outcomes of an attempt. It is lost if the member finds a leader or a later term, or votes for another member.
const (
	AttemptWon      AttemptOutcome = "won"
	AttemptLost     AttemptOutcome = "lost"
	AttemptTimedOut AttemptOutcome = "timed-out"
)

// Ballot is the answer of one voter in an election attempt.
type Ballot struct {
	voter  MemberID
	reason VoteReason
}

// Voter returns the id of the voter, which may be the candidate itself.
func (b Ballot) Voter() MemberID { return b.voter }

// Reason returns the reason of the answer; it is empty while there is none.
func (b Ballot) Reason() VoteReason { return b.reason }

// Attempt is the record of one attempt of a member to become leader. It is immutable.
type Attempt struct {
	number              uint64
	phase               AttemptPhase
	outcome             AttemptOutcome
	term                uint64
	lastIndex, lastTerm uint64
	ballots             []Ballot
	startedAt, endedAt  time.Time
}

// Number returns the number of the attempt, counted from 1 since the start of the core; it is 0 for no attempt.
func (a Attempt) Number() uint64 { return a.number }

// Phase returns the phase that the attempt is in, or in which it ended.
func (a Attempt) Phase() AttemptPhase { return a.phase }

// Outcome returns how the attempt ended; it is empty while it is going on.
func (a Attempt) Outcome() AttemptOutcome { return a.outcome }

// Term returns the term that the member would lead.
func (a Attempt) Term() uint64 { return a.term }

// Last returns the index and the term of the last entry in the member's log.
func (a Attempt) Last() (index, term uint64) { return a.lastIndex, a.lastTerm }

// Ballots returns one ballot for each voter in the order of their ids, the member itself included. Its own vote counts
// once it is synced. The caller must not modify the slice.
func (a Attempt) Ballots() []Ballot { return a.ballots }

// Majority returns the number of granted ballots that the attempt needs.
func (a Attempt) Majority() int { return len(a.ballots)/2 + 1 }

// Took returns the time from the start of the attempt to its end; it is 0 while it is going on.
func (a Attempt) Took() time.Duration {
	if a.outcome == "" {
		return 0
	}
	return a.endedAt.Sub(a.startedAt)
}

// withAnswer returns the attempt with the answer of a voter. An answer of a member that was not asked has no effect.
func (a Attempt) withAnswer(from MemberID, reason VoteReason) Attempt {
	i := slices.IndexFunc(a.ballots, func(b Ballot) bool { return b.voter == from })
	if i < 0 {
		return a
	}
	a.ballots = slices.Clone(a.ballots)
	a.ballots[i].reason = reason
	return a
}

// Elections records the election attempts of a member, and its answers to those of others, since the start of its core.
// It is immutable.
type Elections struct {
	version  uint64
	current  Attempt
	ended    Attempt
	started  uint64
	won      uint64
	lost     uint64
	timedOut uint64
	answers  [len(voteReasons)]uint64
}

// Version returns a number that grows with each change of the record.
func (e Elections) Version() uint64 { return e.version }

// Current returns the attempt that is going on; ok is false if there is none.
func (e Elections) Current() (a Attempt, ok bool) { return e.current, e.current.number > 0 }

// Ended returns the attempt that ended last; ok is false if there was none.
func (e Elections) Ended() (a Attempt, ok bool) { return e.ended, e.ended.number > 0 }

// Started returns the number of attempts that were started.
func (e Elections) Started() uint64 { return e.started }

// Won returns the number of attempts that were won.
func (e Elections) Won() uint64 { return e.won }

// Failed returns the number of attempts that were lost or timed out.
func (e Elections) Failed() uint64 { return e.lost + e.timedOut }

// Answers returns the number of requests for a vote or a pre-vote that the member answered with a reason.
func (e Elections) Answers(r VoteReason) uint64 {
	if i := slices.Index(voteReasons[:], r); i >= 0 {
		return e.answers[i]
	}
	return 0
}

// countAnswer counts an answer to the request of another member.
func (e *Elections) countAnswer(r VoteReason) {
	if i := slices.Index(voteReasons[:], r); i >= 0 {
		e.answers[i]++
		e.version++
	}
}

// record records the answer of a voter to the attempt that is going on.
func (e *Elections) record(from MemberID, r VoteReason) {
	e.current = e.current.withAnswer(from, r)
	e.version++
}

// beginPhase begins an attempt or, after the pre-vote, its vote.
func (c *Core) beginPhase(phase AttemptPhase, term uint64) {
	e := &c.elections
	continued := phase == VotePhase && e.current.phase == PreVotePhase
	if !continued {
		c.endAttempt(AttemptTimedOut)
		e.started++
		e.current = Attempt{number: e.started, startedAt: c.now}
	}
	e.version++
	a := &e.current
	a.phase, a.term = phase, term
	a.lastIndex, a.lastTerm = c.log.lastIndex(), c.log.lastTerm()
	a.ballots = nil
	for _, m := range c.membership.members {
		if m.voter {
			a.ballots = append(a.ballots, Ballot{voter: m.id})
		}
	}
}

// endAttempt ends the attempt that is going on, if any.
func (c *Core) endAttempt(outcome AttemptOutcome) {
	e := &c.elections
	if e.current.number == 0 {
		return
	}
	switch outcome {
	case AttemptWon:
		e.won++
	case AttemptLost:
		e.lost++
	case AttemptTimedOut:
		e.timedOut++
	}
	e.version++
	e.ended, e.current = e.current, Attempt{}
	e.ended.outcome, e.ended.endedAt = outcome, c.now
}

// Elections returns the record of the election attempts and of the answers to those of others.
func (c *Core) Elections() Elections { return c.elections }
