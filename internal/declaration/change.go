package declaration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Action says what happens to a part of a configuration.
type Action string

// The actions of a change.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// Change is one difference between two configurations.
type Change struct {
	action  Action
	subject string
	before  string
	after   string
}

// Action returns what happens.
func (c Change) Action() Action { return c.action }

// Subject returns what is changed, such as "default task_lease" or "workspace previews limits".
func (c Change) Subject() string { return c.subject }

// Before returns the earlier value, "" when the subject is added.
func (c Change) Before() string { return c.before }

// After returns the later value, "" when the subject is removed.
func (c Change) After() string { return c.after }

// String returns the change in one line.
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

// part is the value of a subject and the short form that is shown of it.
type part struct {
	value string
	shown string
}

// Diff returns the changes that lead from one configuration to another, sorted by subject.
func Diff(before, after *workspace.Config) (changes []Change) {
	old, current := partsOf(before), partsOf(after)
	for subject, p := range current {
		was, ok := old[subject]
		switch {
		case !ok:
			changes = append(changes, Change{action: Added, subject: subject, after: p.shown})
		case was.value != p.value:
			changes = append(changes, Change{action: Changed, subject: subject, before: was.shown, after: p.shown})
		}
	}
	for subject, p := range old {
		if _, ok := current[subject]; !ok {
			changes = append(changes, Change{action: Removed, subject: subject, before: p.shown})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.subject, b.subject) })
	return changes
}

// partsOf returns each part of a configuration by subject.
func partsOf(c *workspace.Config) map[string]part {
	parts := map[string]part{}
	add := func(value, format string, args ...any) {
		parts[fmt.Sprintf(format, args...)] = part{value: value, shown: value}
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
			parts["workspace "+w.Name()+" tokens"] = part{value: strings.Join(digests, " "), shown: showDigests(digests)}
		}
	}
	return parts
}

// showDigests returns the digests in short form, enough to tell one from another.
func showDigests(digests []string) string {
	const shown = len("sha256:") + 8
	short := make([]string, len(digests))
	for i, d := range digests {
		short[i] = d[:min(len(d), shown)]
	}
	return strings.Join(short, " ")
}
