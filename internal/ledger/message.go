package ledger

import "time"

// Message is a message between two members.
//
//sumtype:decl
type Message interface{ message() }

// PreVote asks whether the receiver would vote for the sender in a term. It does not raise the term of either.
type PreVote struct{ term, lastIndex, lastTerm uint64 }

// PreVoteReply is the reply to a PreVote. It carries the requested term and the current term of the replier.
type PreVoteReply struct {
	term        uint64
	currentTerm uint64
	granted     bool
	reason      VoteReason // empty if the replier gives none
}

// RequestVote asks for a vote in a term, which the candidate has already persisted.
type RequestVote struct {
	term, lastIndex, lastTerm uint64
	transfer                  bool
}

// RequestVoteReply is the reply to a RequestVote.
type RequestVoteReply struct {
	term    uint64
	granted bool
	reason  VoteReason // empty if the replier gives none
}

// AppendEntries carries the entries that follow a previous one. Without entries it is a heartbeat.
type AppendEntries struct {
	term, previousIndex, previousTerm uint64
	entries                           []Entry
	commit                            uint64
	round                             uint64
	sentAt                            time.Duration
}

// AppendEntriesReply is the reply to an AppendEntries or an InstallSnapshot. If the logs do not match, it says to which
// index the leader backtracks.
type AppendEntriesReply struct {
	term          uint64
	round         uint64
	sentAt        time.Duration
	matched       bool
	index         uint64
	conflictTerm  uint64
	conflictIndex uint64
}

// InstallSnapshot carries a whole snapshot to a member that lacks entries which the leader has compacted.
type InstallSnapshot struct {
	term     uint64
	snapshot Snapshot
	round    uint64
	sentAt   time.Duration
}

// TimeoutNow asks a voter to start an election at once, because the leader has stepped down in its favour.
type TimeoutNow struct{ term uint64 }

// Probe asks a member for the latest term that it has seen. A member with an empty disk sends it.
type Probe struct{}

// ProbeReply is the reply to a Probe. The log may exist although the replier has seen no term yet.
type ProbeReply struct {
	term      uint64
	logExists bool
}

// Join asks the leader to make the joining member a voter, in place of an earlier member of the same host, or to record
// its new address.
type Join struct {
	address   string
	joiningID MemberID // empty if the sender itself joins
}

// Leave tells the leader that the sender is about to stop.
type Leave struct{}

func (PreVote) message()            {}
func (PreVoteReply) message()       {}
func (RequestVote) message()        {}
func (RequestVoteReply) message()   {}
func (AppendEntries) message()      {}
func (AppendEntriesReply) message() {}
func (InstallSnapshot) message()    {}
func (TimeoutNow) message()         {}
func (Probe) message()              {}
func (ProbeReply) message()         {}
func (Join) message()               {}
func (Leave) message()              {}

// NewPreVote returns a request for a pre-vote in term.
func NewPreVote(term, lastIndex, lastTerm uint64) PreVote { return PreVote{term, lastIndex, lastTerm} }

// NewPreVoteReply returns the reply to a PreVote for term from a member whose own term is currentTerm.
func NewPreVoteReply(term, currentTerm uint64, granted bool) PreVoteReply {
	return PreVoteReply{term: term, currentTerm: currentTerm, granted: granted}
}

// NewRequestVote returns a request for a vote; transfer says that the former leader sent TimeoutNow to the candidate.
func NewRequestVote(term, lastIndex, lastTerm uint64, transfer bool) RequestVote {
	return RequestVote{term, lastIndex, lastTerm, transfer}
}

// NewRequestVoteReply returns the reply to a RequestVote of term.
func NewRequestVoteReply(term uint64, granted bool) RequestVoteReply {
	return RequestVoteReply{term: term, granted: granted}
}

// NewAppendEntries returns a message with the entries that follow the entry at previousIndex.
func NewAppendEntries(
	term, previousIndex, previousTerm uint64, entries []Entry, commit, round uint64, sentAt time.Duration,
) AppendEntries {
	return AppendEntries{term, previousIndex, previousTerm, entries, commit, round, sentAt}
}

// NewMatchReply returns the reply of a member that has synced the leader's log up to index.
func NewMatchReply(term, round uint64, sentAt time.Duration, index uint64) AppendEntriesReply {
	return AppendEntriesReply{term: term, round: round, sentAt: sentAt, matched: true, index: index}
}

// NewConflictReply returns the reply of a member whose log does not match at index. It holds an entry of conflictTerm
// there, the first one of which is at conflictIndex.
func NewConflictReply(
	term, round uint64, sentAt time.Duration, index, conflictTerm, conflictIndex uint64,
) AppendEntriesReply {
	return AppendEntriesReply{
		term: term, round: round, sentAt: sentAt,
		index: index, conflictTerm: conflictTerm, conflictIndex: conflictIndex,
	}
}

// NewInstallSnapshot returns a message with the snapshot s of the leader of term.
func NewInstallSnapshot(term uint64, s Snapshot, round uint64, sentAt time.Duration) InstallSnapshot {
	return InstallSnapshot{term, s, round, sentAt}
}

// NewTimeoutNow returns a request to start the election of the term after the given one.
func NewTimeoutNow(term uint64) TimeoutNow { return TimeoutNow{term} }

// Term returns the term of the election that would follow, one above the sender's current term.
func (m PreVote) Term() uint64 { return m.term }

// Last returns the index and the term of the last entry in the sender's log.
func (m PreVote) Last() (index, term uint64) { return m.lastIndex, m.lastTerm }

// Term returns the term of the PreVote, which matches the reply to its request.
func (m PreVoteReply) Term() uint64 { return m.term }

// CurrentTerm returns the latest term that the replier has seen.
func (m PreVoteReply) CurrentTerm() uint64 { return m.currentTerm }

// Granted reports whether the replier would vote for the sender of the PreVote.
func (m PreVoteReply) Granted() bool { return m.granted }

// WithReason returns the reply with the reason of the answer. It informs operators and decides nothing.
func (m PreVoteReply) WithReason(r VoteReason) PreVoteReply {
	m.reason = r
	return m
}

// Reason returns the reason of the answer; it is empty if the replier gives none.
func (m PreVoteReply) Reason() VoteReason { return m.reason }

// Term returns the term in which the candidate requests the vote.
func (m RequestVote) Term() uint64 { return m.term }

// Last returns the index and the term of the last entry in the sender's log.
func (m RequestVote) Last() (index, term uint64) { return m.lastIndex, m.lastTerm }

// Transfer reports whether the former leader transferred leadership to the candidate, so that its lease is ignored.
func (m RequestVote) Transfer() bool { return m.transfer }

// Term returns the term in which the vote was granted or denied. For a request that was stale or met a lease it is the
// requested term, which the replier need not have seen.
func (m RequestVoteReply) Term() uint64 { return m.term }

// Granted reports whether the candidate received the vote.
func (m RequestVoteReply) Granted() bool { return m.granted }

// WithReason returns the reply with the reason of the answer. It informs operators and decides nothing.
func (m RequestVoteReply) WithReason(r VoteReason) RequestVoteReply {
	m.reason = r
	return m
}

// Reason returns the reason of the answer; it is empty if the replier gives none.
func (m RequestVoteReply) Reason() VoteReason { return m.reason }

// Term returns the term that the sender leads.
func (m AppendEntries) Term() uint64 { return m.term }

// Previous returns the index and the term of the entry before the first one in the message.
func (m AppendEntries) Previous() (index, term uint64) { return m.previousIndex, m.previousTerm }

// Entries returns the entries to append, which the caller must not modify; it is empty for a heartbeat.
func (m AppendEntries) Entries() []Entry { return m.entries }

// Commit returns the leader's commit index, which may be beyond the last entry in the message.
func (m AppendEntries) Commit() uint64 { return m.commit }

// Round returns the number of the message, which grows with each message that the leader sends.
func (m AppendEntries) Round() uint64 { return m.round }

// SentAt returns the send time on the leader's clock, counted from the start of its core.
func (m AppendEntries) SentAt() time.Duration { return m.sentAt }

// Term returns the replier's term, which is higher than the sender's if the message was stale.
func (m AppendEntriesReply) Term() uint64 { return m.term }

// Round returns the round of the message that this is the reply to.
func (m AppendEntriesReply) Round() uint64 { return m.round }

// SentAt returns the send time of the message that this is the reply to, on the leader's clock.
func (m AppendEntriesReply) SentAt() time.Duration { return m.sentAt }

// Matched reports whether the log matches the leader's and is synced up to Index.
func (m AppendEntriesReply) Matched() bool { return m.matched }

// Index returns the last matching index, or the index at which the logs do not match.
func (m AppendEntriesReply) Index() uint64 { return m.index }

// Conflict returns the term of the replier's entry at Index and the first index of that term. If there is no such
// entry, the term is 0 and the index is the one after the replier's last entry.
func (m AppendEntriesReply) Conflict() (term, index uint64) { return m.conflictTerm, m.conflictIndex }

// Term returns the term that the sender leads.
func (m InstallSnapshot) Term() uint64 { return m.term }

// Snapshot returns the leader's latest snapshot, whose data the caller must not modify.
func (m InstallSnapshot) Snapshot() Snapshot { return m.snapshot }

// Round returns the number of the message, which grows with each message that the leader sends.
func (m InstallSnapshot) Round() uint64 { return m.round }

// SentAt returns the send time on the leader's clock, counted from the start of its core.
func (m InstallSnapshot) SentAt() time.Duration { return m.sentAt }

// Term returns the term that the sender led until it sent the message.
func (m TimeoutNow) Term() uint64 { return m.term }

// NewProbeReply returns the reply of a member whose latest term is term; it is 0 for an empty disk. A member that joins
// under a fresh id knows that the log exists before it has seen a term.
func NewProbeReply(term uint64, logExists bool) ProbeReply { return ProbeReply{term, logExists} }

// LogExists reports whether the replier knows that the log exists.
func (m ProbeReply) LogExists() bool { return m.logExists }

// Term returns the latest term that the replier has seen; it is 0 for a member with an empty disk.
func (m ProbeReply) Term() uint64 { return m.term }

// NewJoin returns the request of a sender that is reachable at address.
func NewJoin(address string) Join { return Join{address: address} }

// For returns the request as a follower forwards it for the member id.
func (m Join) For(id MemberID) Join {
	m.joiningID = id
	return m
}

// Member returns the id of the joining member; it is empty if the sender itself joins.
func (m Join) Member() MemberID { return m.joiningID }

// Address returns the address at which the transport reaches the joining member.
func (m Join) Address() string { return m.address }
