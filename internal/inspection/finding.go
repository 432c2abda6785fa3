package inspection

import (
	"cmp"
	"fmt"
	"slices"

	"rosemarywind.example/rosemarywind/internal/declaration"
)

// Kind is the kind of a finding.
type Kind string

// The kinds of findings, from the gravest.
const (
	Error         Kind = "error"         // the system would refuse the configuration or ignore it
	Unreachable   Kind = "unreachable"   // an entry that can never match or be used
	Contradiction Kind = "contradiction" // limits that contradict each other, or a value that is not used as declared
	Difference    Kind = "difference"    // a difference to the configuration in force
)

// Kinds returns all kinds, from the gravest.
func Kinds() []Kind { return []Kind{Error, Unreachable, Contradiction, Difference} }

// Place is the part of a configuration that a finding is about.
//
//sumtype:decl
type Place interface{ place() }

// Section is the list that an Entry is in, or the part of the configuration that has no list.
type Section string

// The sections of a configuration.
const (
	VersionSection   Section = "version"
	LimitsSection    Section = "limits"
	QueueSection     Section = "queue"
	ServiceSection   Section = "service"
	WorkspaceSection Section = "workspace"
	DefaultSection   Section = "default"
	ExceptionSection Section = "exception"
)

// unlisted is the index of an entry whose position in the file is not known or that is not in the file.
const unlisted = -1

// Entry is a place that is named by its section and name.
type Entry struct {
	section Section
	index   int
	name    string
}

// wholeSection returns the place of a finding about no single entry of a section.
func wholeSection(s Section) Entry { return Entry{section: s, index: unlisted} }

// Section returns the section of the entry.
func (e Entry) Section() Section { return e.section }

// Index returns the position in the section, counted from 0; ok is false if it is unknown or the entry is not in the file.
func (e Entry) Index() (index int, ok bool) { return e.index, e.index != unlisted }

// Name returns the name of the entry, or "" if it has none.
func (e Entry) Name() string { return e.name }

// Key is a place that is named by its line and the path of its key.
type Key struct {
	line int
	path string
}

// NewKey returns the place of a key; the line is 0 and the path is empty where they are not known.
func NewKey(line int, path string) Key { return Key{line: line, path: path} }

// Line returns the line, counted from 1, or 0 if it is not known.
func (k Key) Line() int { return k.line }

// Path returns the dotted path of the key, or "" if the finding is about the whole text.
func (k Key) Path() string { return k.path }

func (Entry) place() {}
func (Key) place()   {}

// Finding is one result of an inspection; it is immutable.
type Finding struct {
	kind    Kind
	place   Place
	message string
	change  Change
}

// NewFinding returns a finding with a sentence in plain English.
func NewFinding(k Kind, p Place, message string) Finding {
	return Finding{kind: k, place: p, message: message}
}

func findingf(k Kind, p Place, format string, args ...any) Finding {
	return NewFinding(k, p, fmt.Sprintf(format, args...))
}

// Kind returns the kind of the finding.
func (f Finding) Kind() Kind { return f.kind }

// Place returns the part of the configuration that the finding is about.
func (f Finding) Place() Place { return f.place }

// Message describes the finding in a sentence, which shows no key of a workspace.
func (f Finding) Message() string { return f.message }

// Change returns the values of a difference; ok is false for the other kinds.
func (f Finding) Change() (c Change, ok bool) { return f.change, f.kind == Difference }

// Change is the earlier and the later value of a difference; keys are shown as digests.
type Change struct {
	action declaration.Action
	before string
	after  string
}

// Action returns whether the entry or value is added, changed or removed.
func (c Change) Action() declaration.Action { return c.action }

// Before returns the value in force, or "" if the entry is added.
func (c Change) Before() string { return c.before }

// After returns the value in the file, or "" if the entry is removed.
func (c Change) After() string { return c.after }

// newDifference returns a difference of a value of an entry; subject is empty if the whole entry differs.
func newDifference(p Place, subject string, c Change) Finding {
	text := ""
	if subject != "" {
		text = " " + subject
	}
	switch c.action {
	case declaration.Added:
		text = fmt.Sprintf("added%s: %s", text, c.after)
	case declaration.Removed:
		text = fmt.Sprintf("removed%s: %s", text, c.before)
	case declaration.Changed:
		text = fmt.Sprintf("changed%s: %s -> %s", text, c.before, c.after)
	}
	return Finding{kind: Difference, place: p, message: text, change: c}
}

// Sort sorts findings from the gravest kind and keeps the order within each kind.
func Sort(findings []Finding) []Finding {
	order := Kinds()
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Compare(slices.Index(order, a.kind), slices.Index(order, b.kind))
	})
	return findings
}
