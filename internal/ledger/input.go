package ledger

// Input is what a core reacts to.
//
//sumtype:decl
type Input interface{ input() }

// Tick tells the core that the time that Wake returned has come.
type Tick struct{}

// Receive brings a message of another member.
type Receive struct {
	from    MemberID
	message Message
}

// Propose asks the leader to append data.
type Propose struct{ proposals []Proposal }

// Change asks the leader for a change of the membership.
type Change struct {
	token  uint64
	kind   ChangeKind
	member Member
}

// Transfer asks the leader to hand leadership to the most current voter.
type Transfer struct{ token uint64 }

// Persisted tells that storage has synced the Persist effects up to a sequence number.
type Persisted struct{ sequence uint64 }

// Compact brings the applied state after the entry at an index, which replaces the
// log up to there; some entries before it stay in memory for members that are a little behind.
type Compact struct {
	index    uint64
	data     []byte
	trailing uint64
}

func (Tick) input()      {}
func (Receive) input()   {}
func (Propose) input()   {}
func (Change) input()    {}
func (Transfer) input()  {}
func (Persisted) input() {}
func (Compact) input()   {}

// NewReceive returns the input for a message of another member.
func NewReceive(from MemberID, m Message) Receive { return Receive{from: from, message: m} }

// NewPropose returns the input for a group of proposals, which are appended in order.
func NewPropose(proposals ...Proposal) Propose { return Propose{proposals: proposals} }

// NewTransfer returns the input that asks for a transfer of leadership.
func NewTransfer(token uint64) Transfer { return Transfer{token: token} }

// NewPersisted returns the completion of all Persist effects up to sequence.
func NewPersisted(sequence uint64) Persisted { return Persisted{sequence: sequence} }

// NewCompact returns the input for a snapshot that the application took after the
// entry at index, of which up to trailing entries stay in memory.
func NewCompact(index uint64, data []byte, trailing uint64) Compact {
	return Compact{index: index, data: data, trailing: trailing}
}

// Proposal is data to append; its token comes back in Accepted or Refused.
type Proposal struct {
	token uint64
	data  []byte
}

// NewProposal returns a proposal; the token is chosen by the caller.
func NewProposal(token uint64, data []byte) Proposal { return Proposal{token: token, data: data} }

// ChangeKind says how a membership changes.
type ChangeKind string

// The kinds of membership changes.
const (
	AddNonVoter ChangeKind = "add-non-voter"
	Promote     ChangeKind = "promote"
	Remove      ChangeKind = "remove"
)

// NewChange returns a membership change; the address matters to AddNonVoter only.
func NewChange(token uint64, kind ChangeKind, id MemberID, address string) Change {
	return Change{token: token, kind: kind, member: Member{id: id, address: address}}
}
