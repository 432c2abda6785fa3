package ledger

// Input is an event that Core.Step processes.
//
//sumtype:decl
type Input interface{ input() }

// Tick is the input for the time that Core.Wake returned.
type Tick struct{}

// Receive is the input for a message from another member.
type Receive struct {
	from    MemberID
	message Message
}

// Propose asks the leader to append data to the log.
type Propose struct{ proposals []Proposal }

// MembershipChange asks the leader to add, promote or remove one member.
type MembershipChange struct {
	token  uint64
	kind   ChangeKind
	member Member
}

// Transfer asks the leader to transfer leadership to the voter whose log is most up to date.
type Transfer struct{ token uint64 }

// Stop says that this member is about to stop.
type Stop struct{}

// Persisted is the input for the completion of all Persist effects up to a sequence number.
type Persisted struct{ sequence uint64 }

// Compact replaces the log up to an index with a snapshot of the application. Some entries before the index
// stay in memory, so that members which lag slightly need no snapshot.
type Compact struct {
	index    uint64
	data     []byte
	trailing Trailing
}

// Trailing bounds the entries covered by a snapshot that stay in memory, by their number and by the bytes of their data.
type Trailing struct {
	entries uint64
	bytes   int
}

// NewTrailing returns the bounds of the entries that stay in memory.
func NewTrailing(entries uint64, bytes int) Trailing { return Trailing{entries: entries, bytes: bytes} }

func (Tick) input()             {}
func (Receive) input()          {}
func (Propose) input()          {}
func (MembershipChange) input() {}
func (Transfer) input()         {}
func (Stop) input()             {}
func (Persisted) input()        {}
func (Compact) input()          {}

// NewReceive returns the input for a message m from the member from.
func NewReceive(from MemberID, m Message) Receive { return Receive{from: from, message: m} }

// NewPropose returns the input for a batch of proposals, which are appended in the given order.
func NewPropose(proposals ...Proposal) Propose { return Propose{proposals: proposals} }

// NewTransfer returns the input for a leadership transfer; the token comes back in Accepted or Refused.
func NewTransfer(token uint64) Transfer { return Transfer{token: token} }

// NewPersisted returns the input for the sync of all Persist effects up to and including sequence.
func NewPersisted(sequence uint64) Persisted { return Persisted{sequence: sequence} }

// NewCompact returns the input for a snapshot that the application took after it had applied the entry at
// index. Of the entries that the snapshot covers, the latest ones within the bounds stay in memory.
func NewCompact(index uint64, data []byte, trailing Trailing) Compact {
	return Compact{index: index, data: data, trailing: trailing}
}

// Proposal is the data of one entry to append; its token comes back in Accepted or Refused.
type Proposal struct {
	token uint64
	data  []byte
}

// NewProposal returns a proposal with a token that the caller uses to match the answer.
func NewProposal(token uint64, data []byte) Proposal { return Proposal{token: token, data: data} }

// ChangeKind is the type of a membership change.
type ChangeKind string

// Kinds of membership changes. Promote makes a non-voter a voter.
const (
	AddNonVoter ChangeKind = "add-non-voter"
	Promote     ChangeKind = "promote"
	Remove      ChangeKind = "remove"
)

// NewMembershipChange returns the input for a change of one member. Only AddNonVoter uses the address. The token
// must not be 0.
func NewMembershipChange(token uint64, kind ChangeKind, id MemberID, address string) MembershipChange {
	return MembershipChange{token: token, kind: kind, member: Member{id: id, address: address}}
}
