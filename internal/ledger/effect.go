package ledger

// Effect is an action that Core.Step asks its caller to carry out, in the order of the returned slice.
//
//sumtype:decl
type Effect interface{ effect() }

// Send asks for a message to be sent. The transport may drop it.
type Send struct {
	to      MemberID
	address string
	message Message
}

// Persist asks storage to write and sync the hard state and entries. Writes are made durable in the order of
// their sequence numbers.
type Persist struct {
	sequence  uint64
	hardState HardState
	entries   []Entry
	snapshot  *Snapshot
}

// Apply asks the application to apply committed entries.
type Apply struct{ entries []Entry }

// Restore asks the application to replace its state with a snapshot received from the leader.
type Restore struct{ snapshot Snapshot }

// BecomeLeader reports that this member has become the leader of a term. It may serve requests once its no-op
// entry is applied.
type BecomeLeader struct {
	term      uint64
	noOpIndex uint64
}

// StepDown reports that this member is no longer the leader. The outcome of proposals that no earlier Apply
// contains is unknown.
type StepDown struct{ term uint64 }

// Accepted reports the index at which a proposal or a membership change was appended, before it is
// committed. For a leadership transfer the index is 0, and TimeoutNow was sent to the target.
type Accepted struct {
	token uint64
	index uint64
}

// Refused reports that a proposal, a membership change or a leadership transfer was rejected without effect.
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

// Refusal is the reason why a core rejected a request.
type Refusal string

// Reasons for a refusal.
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

// NewSend returns a Send for a caller that answers without a core, such as a member with an empty disk.
func NewSend(to MemberID, address string, m Message) Send {
	return Send{to: to, address: address, message: m}
}

// To returns the id of the receiver; if it is empty, any member at the address accepts the message.
func (e Send) To() MemberID { return e.to }

// Address returns the receiver's address; it is empty if the membership does not contain the id.
func (e Send) Address() string { return e.address }

// Message returns the message to encode and send.
func (e Send) Message() Message { return e.message }

// NewPersist returns a Persist without a sequence number, with which a caller initializes an empty disk.
func NewPersist(hard HardState, s *Snapshot, entries []Entry) Persist {
	return Persist{hardState: hard, snapshot: s, entries: entries}
}

// Sequence returns the number that the caller passes to NewPersisted after the sync.
func (e Persist) Sequence() uint64 { return e.sequence }

// HardState returns the identity, the term and the vote as of this write.
func (e Persist) HardState() HardState { return e.hardState }

// Entries returns the entries to write. The first one replaces all written entries with its index or a higher one.
func (e Persist) Entries() []Entry { return e.entries }

// Snapshot returns the snapshot to write, if any; Entries then returns the whole log after it.
func (e Persist) Snapshot() (s Snapshot, ok bool) {
	if e.snapshot == nil {
		return Snapshot{}, false
	}
	return *e.snapshot, true
}

// Entries returns the committed entries, in order and without a gap to the previous Apply or Restore.
func (e Apply) Entries() []Entry { return e.entries }

// Snapshot returns the snapshot, whose index the application has applied afterwards.
func (e Restore) Snapshot() Snapshot { return e.snapshot }

// Term returns the term that this member leads.
func (e BecomeLeader) Term() uint64 { return e.term }

// NoOpIndex returns the index of the entry that must be applied before the leader serves requests.
func (e BecomeLeader) NoOpIndex() uint64 { return e.noOpIndex }

// Term returns the term that this member no longer leads.
func (e StepDown) Term() uint64 { return e.term }

// Token returns the token that the caller gave to the request.
func (e Accepted) Token() uint64 { return e.token }

// Index returns the index of the appended entry; it is 0 for a leadership transfer.
func (e Accepted) Index() uint64 { return e.index }

// Token returns the token that the caller gave to the request.
func (e Refused) Token() uint64 { return e.token }

// Reason returns why the request was rejected; its text is part of the error that the driver returns.
func (e Refused) Reason() Refusal { return e.reason }
