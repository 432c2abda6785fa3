package ledger

import "time"

// Message is what members send to each other.
//
//sumtype:decl
type Message interface{ message() }

// PreVote asks whether a vote in a later term could be won; it changes no term.
type PreVote struct{ term, lastIndex, lastTerm uint64 }

// PreVoteReply answers a PreVote. Current is the replier's own term.
type PreVoteReply struct {
	term    uint64
	current uint64
	granted bool
}

// Vote asks for a vote.
type Vote struct {
	term, lastIndex, lastTerm uint64
	transfer                  bool
}

// VoteReply answers a Vote.
type VoteReply struct {
	term    uint64
	granted bool
}

// Append carries entries after a previous one; without entries it is a heartbeat.
type Append struct {
	term, previousIndex, previousTerm uint64
	entries                           []Entry
	commit                            uint64
	round                             uint64
	stamp                             time.Duration
}

// AppendReply answers an Append or an Install. A reply that is no match names where to back up to.
type AppendReply struct {
	term          uint64
	round         uint64
	stamp         time.Duration
	matched       bool
	index         uint64
	conflictTerm  uint64
	conflictIndex uint64
}

// Install carries a whole snapshot to a member that lacks entries which the leader no longer has.
type Install struct {
	term     uint64
	snapshot Snapshot
	round    uint64
	stamp    time.Duration
}

// TimeoutNow asks a voter to campaign at once because the leader has stepped down in its favour.
type TimeoutNow struct{ term uint64 }

// Probe asks a member for the latest term that it has seen.
type Probe struct{}

// ProbeReply answers a Probe.
type ProbeReply struct{ term uint64 }

// Join asks the leader to make the sender a voter, in place of an earlier disk of its host, or to note that it has moved.
type Join struct {
	address string
	member  MemberID // who joins, if another one passes the request on
}

func (PreVote) message()      {}
func (PreVoteReply) message() {}
func (Vote) message()         {}
func (VoteReply) message()    {}
func (Append) message()       {}
func (AppendReply) message()  {}
func (Install) message()      {}
func (TimeoutNow) message()   {}
func (Probe) message()        {}
func (ProbeReply) message()   {}
func (Join) message()         {}

// NewPreVote returns a request for a pre-vote in term.
func NewPreVote(term, lastIndex, lastTerm uint64) PreVote { return PreVote{term, lastIndex, lastTerm} }

// NewPreVoteReply returns the answer to a PreVote for term by a member whose term is current.
func NewPreVoteReply(term, current uint64, granted bool) PreVoteReply {
	return PreVoteReply{term, current, granted}
}

// NewVote returns a request for a vote; transfer says that the last leader asked for it.
func NewVote(term, lastIndex, lastTerm uint64, transfer bool) Vote {
	return Vote{term, lastIndex, lastTerm, transfer}
}

// NewVoteReply returns the answer to a Vote.
func NewVoteReply(term uint64, granted bool) VoteReply { return VoteReply{term, granted} }

// NewAppend returns a message with the entries after a previous one.
func NewAppend(term, previousIndex, previousTerm uint64, entries []Entry, commit, round uint64, stamp time.Duration) Append {
	return Append{term, previousIndex, previousTerm, entries, commit, round, stamp}
}

// NewMatched returns the answer that the member has the leader's log up to index on its disk.
func NewMatched(term, round uint64, stamp time.Duration, index uint64) AppendReply {
	return AppendReply{term: term, round: round, stamp: stamp, matched: true, index: index}
}

// NewConflict returns the answer that the member's log does not match at index, and
// that the conflicting term begins at conflictIndex there.
func NewConflict(term, round uint64, stamp time.Duration, index, conflictTerm, conflictIndex uint64) AppendReply {
	return AppendReply{
		term: term, round: round, stamp: stamp,
		index: index, conflictTerm: conflictTerm, conflictIndex: conflictIndex,
	}
}

// NewInstall returns a message that carries a snapshot.
func NewInstall(term uint64, s Snapshot, round uint64, stamp time.Duration) Install {
	return Install{term, s, round, stamp}
}

// NewTimeoutNow returns a request to campaign after term.
func NewTimeoutNow(term uint64) TimeoutNow { return TimeoutNow{term} }

// Term returns the term that the candidate would campaign in.
func (m PreVote) Term() uint64 { return m.term }

// Last returns the position of the candidate's last entry.
func (m PreVote) Last() (index, term uint64) { return m.lastIndex, m.lastTerm }

// Term returns the term that was asked for.
func (m PreVoteReply) Term() uint64 { return m.term }

// Current returns the replier's own term.
func (m PreVoteReply) Current() uint64 { return m.current }

// Granted reports whether the replier would vote for the candidate.
func (m PreVoteReply) Granted() bool { return m.granted }

// Term returns the candidate's term.
func (m Vote) Term() uint64 { return m.term }

// Last returns the position of the candidate's last entry.
func (m Vote) Last() (index, term uint64) { return m.lastIndex, m.lastTerm }

// Transfer reports whether the last leader asked for the campaign.
func (m Vote) Transfer() bool { return m.transfer }

// Term returns the replier's term.
func (m VoteReply) Term() uint64 { return m.term }

// Granted reports whether the candidate has the vote.
func (m VoteReply) Granted() bool { return m.granted }

// Term returns the leader's term.
func (m Append) Term() uint64 { return m.term }

// Previous returns the position of the entry before the first one carried.
func (m Append) Previous() (index, term uint64) { return m.previousIndex, m.previousTerm }

// Entries returns the entries carried, which the caller must not modify.
func (m Append) Entries() []Entry { return m.entries }

// Commit returns the leader's commit index.
func (m Append) Commit() uint64 { return m.commit }

// Round returns the number of the message within the leader's term.
func (m Append) Round() uint64 { return m.round }

// Stamp returns when the leader sent the message, since its own start.
func (m Append) Stamp() time.Duration { return m.stamp }

// Term returns the replier's term.
func (m AppendReply) Term() uint64 { return m.term }

// Round returns the round of the message that is answered.
func (m AppendReply) Round() uint64 { return m.round }

// Stamp returns the stamp of the message that is answered.
func (m AppendReply) Stamp() time.Duration { return m.stamp }

// Matched reports whether the log matches up to Index and is on the disk up to there.
func (m AppendReply) Matched() bool { return m.matched }

// Index returns the matched index, or the one at which the log does not match.
func (m AppendReply) Index() uint64 { return m.index }

// Conflict returns the term that the replier has at Index, if any, and where it begins.
func (m AppendReply) Conflict() (term, index uint64) { return m.conflictTerm, m.conflictIndex }

// Term returns the leader's term.
func (m Install) Term() uint64 { return m.term }

// Snapshot returns the leader's snapshot.
func (m Install) Snapshot() Snapshot { return m.snapshot }

// Round returns the number of the message within the leader's term.
func (m Install) Round() uint64 { return m.round }

// Stamp returns when the leader sent the message, since its own start.
func (m Install) Stamp() time.Duration { return m.stamp }

// Term returns the term that the former leader led.
func (m TimeoutNow) Term() uint64 { return m.term }

// NewProbeReply returns the answer of a member that has seen term.
func NewProbeReply(term uint64) ProbeReply { return ProbeReply{term} }

// Term returns the latest term that the replier has seen.
func (m ProbeReply) Term() uint64 { return m.term }

// NewJoin returns the request of a member at address.
func NewJoin(address string) Join { return Join{address: address} }

// For returns the request passed on for another member.
func (m Join) For(id MemberID) Join {
	m.member = id
	return m
}

// Member returns who joins, or an empty id for the sender.
func (m Join) Member() MemberID { return m.member }

// Address returns where the transport reaches who joins.
func (m Join) Address() string { return m.address }
