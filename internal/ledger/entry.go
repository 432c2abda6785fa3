package ledger

// EntryKind says what an entry carries.
type EntryKind string

// The kinds of entries.
const (
	NoOp   EntryKind = "no-op"
	Data   EntryKind = "data"
	Config EntryKind = "config"
)

// Entry is one position of the log.
type Entry struct {
	index      uint64
	term       uint64
	kind       EntryKind
	data       []byte
	membership Membership
}

// NewEntry returns an entry that carries data; NoOp entries have none.
func NewEntry(index, term uint64, kind EntryKind, data []byte) Entry {
	return Entry{index: index, term: term, kind: kind, data: data}
}

// NewConfigEntry returns an entry that puts a membership in force.
func NewConfigEntry(index, term uint64, m Membership) Entry {
	return Entry{index: index, term: term, kind: Config, membership: m}
}

// Index returns the position, counted from 1.
func (e Entry) Index() uint64 { return e.index }

// Term returns the term of the leader that created the entry.
func (e Entry) Term() uint64 { return e.term }

// Kind returns what the entry carries.
func (e Entry) Kind() EntryKind { return e.kind }

// Data returns the payload, which the caller must not modify.
func (e Entry) Data() []byte { return e.data }

// Membership returns the membership that a Config entry puts in force.
func (e Entry) Membership() Membership { return e.membership }
