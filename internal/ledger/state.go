package ledger

// Snapshot is the applied state up to an index; at index 0 it carries only the founding membership.
type Snapshot struct {
	index      uint64
	term       uint64
	membership Membership
	data       []byte
}

// NewSnapshot returns a snapshot of the state after the entry at index.
func NewSnapshot(index, term uint64, m Membership, data []byte) Snapshot {
	return Snapshot{index: index, term: term, membership: m, data: data}
}

// Index returns the last index that the snapshot covers.
func (s Snapshot) Index() uint64 { return s.index }

// Term returns the term of the entry at the last index.
func (s Snapshot) Term() uint64 { return s.term }

// Membership returns the membership in force at the last index.
func (s Snapshot) Membership() Membership { return s.membership }

// Data returns the applied state, which the caller must not modify.
func (s Snapshot) Data() []byte { return s.data }

// HardState is what a member must not forget between two answers.
type HardState struct {
	identity MemberID
	term     uint64
	vote     MemberID
}

// NewHardState returns the hard state of a member that voted for vote in term.
func NewHardState(identity MemberID, term uint64, vote MemberID) HardState {
	return HardState{identity: identity, term: term, vote: vote}
}

// Identity returns the member's id; it is empty on a disk that was never used.
func (h HardState) Identity() MemberID { return h.identity }

// Term returns the latest term that the member has seen.
func (h HardState) Term() uint64 { return h.term }

// Vote returns the candidate that got the member's vote in the term, if any.
func (h HardState) Vote() MemberID { return h.vote }

// Saved is all that a member's disk holds.
type Saved struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// NewSaved returns the content of a disk; entries follow the snapshot without a gap.
func NewSaved(hard HardState, snapshot Snapshot, entries []Entry) Saved {
	return Saved{hard: hard, snapshot: snapshot, entries: entries}
}

// Hard returns the identity, the term and the vote.
func (s Saved) Hard() HardState { return s.hard }

// Snapshot returns the latest snapshot.
func (s Saved) Snapshot() Snapshot { return s.snapshot }

// Entries returns the entries after the snapshot, which the caller must not modify.
func (s Saved) Entries() []Entry { return s.entries }
