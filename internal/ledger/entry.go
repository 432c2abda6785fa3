package ledger

// EntryKind is the type of an entry's payload.
type EntryKind string

// Kinds of entries: the first entry of a leader's term, data of the application, and a membership.
const (
	NoOp   EntryKind = "no-op"
	Data   EntryKind = "data"
	Config EntryKind = "config"
)

// Entry is one entry of the replicated log.
type Entry struct {
	index      uint64
	term       uint64
	kind       EntryKind
	data       []byte
	membership Membership
}

// NewEntry returns an entry of kind NoOp, whose data is nil, or of kind Data.
func NewEntry(index, term uint64, kind EntryKind, data []byte) Entry {
	return Entry{index: index, term: term, kind: kind, data: data}
}

// NewConfigEntry returns an entry that changes the membership to m as soon as it is appended.
func NewConfigEntry(index, term uint64, m Membership) Entry {
	return Entry{index: index, term: term, kind: Config, membership: m}
}

// Index returns the position in the log, counted from 1.
func (e Entry) Index() uint64 { return e.index }

// Term returns the term of the leader that appended the entry first.
func (e Entry) Term() uint64 { return e.term }

// Kind returns the type of the payload.
func (e Entry) Kind() EntryKind { return e.kind }

// Data returns the payload of a Data entry, which the caller must not modify; it is nil for other kinds.
func (e Entry) Data() []byte { return e.data }

// Membership returns the membership of a Config entry; it is empty for other kinds.
func (e Entry) Membership() Membership { return e.membership }
