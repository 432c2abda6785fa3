package declaration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Action is the kind of a Change.
type Action string

// The actions of a change.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// Change is one difference between two configurations, in the form that operators see.
type Change struct {
	action  Action
	subject string
	before  string
	after   string
}

// Action returns whether the subject is added, changed or removed.
func (c Change) Action() Action { return c.action }

// Subject returns the name of the part that differs, such as "default task_lease" or "workspace previews limits".
func (c Change) Subject() string { return c.subject }

// Before returns the earlier value, or "" if the subject is added.
func (c Change) Before() string { return c.before }

// After returns the later value, or "" if the subject is removed.
func (c Change) After() string { return c.after }

// String returns the change as one line, such as "changed default task_lease: 2m -> 5m".
func (c Change) String() string {
	switch c.action {
	case Added:
		return fmt.Sprintf("%s %s: %s", c.action, c.subject, c.after)
	case Removed:
		return fmt.Sprintf("%s %s: %s", c.action, c.subject, c.before)
	case Changed:
		return fmt.Sprintf("%s %s: %s -> %s", c.action, c.subject, c.before, c.after)
	}
	return c.subject
}

// subjectValue is the value of a subject, which Diff compares, and the form in which a Change displays it.
type subjectValue struct {
	value   string
	display string
}

// Diff returns the changes from one configuration to another, sorted by subject; revisions are not compared.
func Diff(before, after *workspace.Config) (changes []Change) {
	old, current := subjectValues(before), subjectValues(after)
	for subject, v := range current {
		previous, ok := old[subject]
		switch {
		case !ok:
			changes = append(changes, Change{action: Added, subject: subject, after: v.display})
		case previous.value != v.value:
			changes = append(changes, Change{action: Changed, subject: subject, before: previous.display, after: v.display})
		}
	}
	for subject, v := range old {
		if _, ok := current[subject]; !ok {
			changes = append(changes, Change{action: Removed, subject: subject, before: v.display})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.subject, b.subject) })
	return changes
}

// subjectValues returns the values of a configuration by subject.
func subjectValues(c *workspace.Config) map[string]subjectValue {
	values := map[string]subjectValue{}
	add := func(value, format string, args ...any) {
		values[fmt.Sprintf(format, args...)] = subjectValue{value: value, display: value}
	}
	for key, value := range c.Defaults() {
		add(value, "default %s", key)
	}
	for _, e := range c.Exceptions() {
		add(fmt.Sprintf("%s (%s)", e.Value(), e.Reason()), "exception %s %s", e.Target(), e.Key())
	}
	for _, w := range c.Workspaces() {
		add("tenant "+w.Tenant(), "workspace %s", w.Name())
		add(fmt.Sprintf("%d in flight, %d queued", w.Limits().InFlight(), w.Limits().Queued()), "workspace %s limits", w.Name())
		if w.Guarantee().Total() > 0 {
			add(w.Guarantee().String(), "workspace %s guarantee", w.Name())
		}
		if digests := w.TokenDigests(); len(digests) > 0 {
			values["workspace "+w.Name()+" tokens"] = subjectValue{value: strings.Join(digests, " "), display: abbreviateDigests(digests)}
		}
	}
	return values
}

// abbreviateDigests returns the first 8 hexadecimal digits of each digest, enough to tell digests apart.
func abbreviateDigests(digests []string) string {
	const length = len("sha256:") + 8
	short := make([]string, len(digests))
	for i, d := range digests {
		short[i] = d[:min(len(d), length)]
	}
	return strings.Join(short, " ")
}
