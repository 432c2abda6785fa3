package ledger

// Snapshot is the application state after all entries up to an index; at index 0 it holds only the initial membership.
type Snapshot struct {
	index      uint64
	term       uint64
	membership Membership
	data       []byte
}

// NewSnapshot returns a snapshot of the state after the entry at index, which is of the given term. The caller must not
// modify data afterwards.
func NewSnapshot(index, term uint64, m Membership, data []byte) Snapshot {
	return Snapshot{index: index, term: term, membership: m, data: data}
}

// Index returns the index of the last entry that the snapshot covers.
func (s Snapshot) Index() uint64 { return s.index }

// Term returns the term of the last entry that the snapshot covers.
func (s Snapshot) Term() uint64 { return s.term }

// Membership returns the membership in force after the last entry that the snapshot covers.
func (s Snapshot) Membership() Membership { return s.membership }

// Data returns the encoded application state, which the caller must not modify.
func (s Snapshot) Data() []byte { return s.data }

// HardState is the part of the state besides the log that a member must persist before it answers a message.
type HardState struct {
	identity MemberID
	term     uint64
	vote     MemberID
}

// NewHardState returns the hard state of a member that voted for vote in term; an empty vote means none.
func NewHardState(identity MemberID, term uint64, vote MemberID) HardState {
	return HardState{identity: identity, term: term, vote: vote}
}

// Identity returns the member's id; it is empty for a disk that was never initialized.
func (h HardState) Identity() MemberID { return h.identity }

// Term returns the latest term that the member has seen.
func (h HardState) Term() uint64 { return h.term }

// Vote returns the candidate that received the member's vote in the term; it is empty if there is none.
func (h HardState) Vote() MemberID { return h.vote }

// PersistentState is the complete state of a member on its disk.
type PersistentState struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

// NewPersistentState returns the state of a disk; entries must follow the snapshot without a gap.
func NewPersistentState(hard HardState, snapshot Snapshot, entries []Entry) PersistentState {
	return PersistentState{hardState: hard, snapshot: snapshot, entries: entries}
}

// HardState returns the identity, the term and the vote; it is zero for a disk that was never initialized.
func (s PersistentState) HardState() HardState { return s.hardState }

// Snapshot returns the latest snapshot; at index 0 it holds the initial membership.
func (s PersistentState) Snapshot() Snapshot { return s.snapshot }

// Entries returns the log after the snapshot, which the caller must not modify.
func (s PersistentState) Entries() []Entry { return s.entries }
