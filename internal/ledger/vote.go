package ledger

import "slices"

// VoteReason is why a member grants or refuses a vote or a pre-vote.
type VoteReason string

// Reasons of an answer to a request for a vote or a pre-vote.
const (
	VoteGranted     VoteReason = "granted"
	LeaseHeld       VoteReason = "lease-held"        // the lease that the voter granted to a leader has not ended
	LogBehind       VoteReason = "log-behind"        // the voter's log is more up to date than the candidate's
	VotedForAnother VoteReason = "voted-for-another" // the voter gave its vote of the term to another member
	StaleTerm       VoteReason = "stale-term"        // the voter has seen a later term, or for a pre-vote that very term
	IsLeader        VoteReason = "is-leader"         // the voter itself leads
	Unstated        VoteReason = "unstated"          // the reply of another version gives no reason that is known here
)

// voteReasons holds the reasons that a member may give, in the order in which Elections counts them.
var voteReasons = [...]VoteReason{VoteGranted, LeaseHeld, LogBehind, VotedForAnother, StaleTerm, IsLeader}

// VoteReasons returns the reasons that a member may give for its answer.
func VoteReasons() []VoteReason { return slices.Clone(voteReasons[:]) }

// received returns the reason to record for an answer. Members of other versions may give none, or one that this
// version does not know.
func (r VoteReason) received(granted bool) VoteReason {
	switch {
	case granted:
		return VoteGranted
	case r == VoteGranted || !slices.Contains(voteReasons[:], r):
		return Unstated
	default:
		return r
	}
}

// preVoteReason returns the answer to a PreVote.
func (c *Core) preVoteReason(m PreVote) VoteReason {
	switch {
	case c.role == Leader:
		return IsLeader
	case m.term <= c.term:
		return StaleTerm
	case !c.mayVote():
		return LeaseHeld
	case !c.upToDate(m.lastIndex, m.lastTerm):
		return LogBehind
	default:
		return VoteGranted
	}
}

// requestRefusal returns why a RequestVote must not change the state of this member; it is empty if the vote is decided
// by the log and by the vote given in the term.
func (c *Core) requestRefusal(m RequestVote) VoteReason {
	switch {
	case m.term >= c.term && (m.transfer || c.mayVote()):
		return ""
	case c.role == Leader:
		return IsLeader
	case m.term < c.term:
		return StaleTerm
	default:
		return LeaseHeld
	}
}

// voteReason returns the answer to a RequestVote of the current term.
func (c *Core) voteReason(from MemberID, m RequestVote) VoteReason {
	switch {
	case c.vote != "" && c.vote != from:
		return VotedForAnother
	case !c.upToDate(m.lastIndex, m.lastTerm):
		return LogBehind
	default:
		return VoteGranted
	}
}
