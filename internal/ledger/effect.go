package ledger

// Effect is what the driver of a core carries out, in the order of the list.
//
//sumtype:decl
type Effect interface{ effect() }

// Send passes a message to the transport, which may drop it.
type Send struct {
	to      MemberID
	address string
	message Message
}

// Persist asks storage to sync the hard state and entries, in the order of the sequence numbers.
type Persist struct {
	sequence uint64
	hard     HardState
	entries  []Entry
	snapshot *Snapshot
}

// Apply hands committed entries to the application.
type Apply struct{ entries []Entry }

// Restore replaces the application's state by a snapshot of the leader.
type Restore struct{ snapshot Snapshot }

// BecomeLeader tells that this member leads a term; it serves once its no-op is applied.
type BecomeLeader struct {
	term uint64
	noOp uint64
}

// StepDown tells that this member leads no more; entries that were not yet applied have an unknown outcome.
type StepDown struct{ term uint64 }

// Accepted tells at which index a proposal or a membership change was appended; it
// is not yet committed. For a transfer the index is 0, and the target was told to campaign.
type Accepted struct {
	token uint64
	index uint64
}

// Refused tells that a proposal, a membership change or a transfer was not begun.
type Refused struct {
	token  uint64
	reason Refusal
}

func (Send) effect()         {}
func (Persist) effect()      {}
func (Apply) effect()        {}
func (Restore) effect()      {}
func (BecomeLeader) effect() {}
func (StepDown) effect()     {}
func (Accepted) effect()     {}
func (Refused) effect()      {}

// Refusal says why a request to a core was refused.
type Refusal string

// The reasons of a refusal.
const (
	NotLeader      Refusal = "not the leader"
	Transferring   Refusal = "leadership is being transferred"
	NoSuccessor    Refusal = "no other voter can take over"
	ChangePending  Refusal = "another membership change is not yet committed"
	UnknownMember  Refusal = "no such member"
	MemberExists   Refusal = "the member exists"
	LastVoter      Refusal = "the last voter cannot be removed"
	TooManyVoters  Refusal = "the ledger has seven voters"
	LeaderRemoving Refusal = "the leader must transfer leadership before it is removed"
)

// NewSend returns a message to a member at an address that no core made.
func NewSend(to MemberID, address string, m Message) Send {
	return Send{to: to, address: address, message: m}
}

// To returns the receiver; it is empty for whichever member is at the address.
func (e Send) To() MemberID { return e.to }

// Address returns the receiver's address.
func (e Send) Address() string { return e.address }

// Message returns the message.
func (e Send) Message() Message { return e.message }

// NewPersist returns a request to storage that no core made; a disk is founded with it.
func NewPersist(hard HardState, s *Snapshot, entries []Entry) Persist {
	return Persist{hard: hard, snapshot: s, entries: entries}
}

// Sequence returns the number that Persisted refers to.
func (e Persist) Sequence() uint64 { return e.sequence }

// Hard returns the identity, the term and the vote.
func (e Persist) Hard() HardState { return e.hard }

// Entries returns entries of which the first one replaces all that were at its index or after.
func (e Persist) Entries() []Entry { return e.entries }

// Snapshot returns a new snapshot; Entries is then the whole log after it.
func (e Persist) Snapshot() (s Snapshot, ok bool) {
	if e.snapshot == nil {
		return Snapshot{}, false
	}
	return *e.snapshot, true
}

// Entries returns the committed entries in order.
func (e Apply) Entries() []Entry { return e.entries }

// Snapshot returns the state to take over.
func (e Restore) Snapshot() Snapshot { return e.snapshot }

// Term returns the new leader's term.
func (e BecomeLeader) Term() uint64 { return e.term }

// NoOp returns the index of the entry that must be applied before the leader serves.
func (e BecomeLeader) NoOp() uint64 { return e.noOp }

// Term returns the term that this member no longer leads.
func (e StepDown) Term() uint64 { return e.term }

// Token returns the token of the request.
func (e Accepted) Token() uint64 { return e.token }

// Index returns the index of the appended entry.
func (e Accepted) Index() uint64 { return e.index }

// Token returns the token of the request.
func (e Refused) Token() uint64 { return e.token }

// Reason returns why the request was refused.
func (e Refused) Reason() Refusal { return e.reason }
