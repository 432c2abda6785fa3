package workspace

import (
	"fmt"
	"maps"
	"slices"
)

// Delta leads from one revision of the configuration to a later one, so that a change of one
// workspace costs a watcher one workspace and not all of them.
type Delta struct {
	base       uint64
	revision   uint64
	changed    []Workspace
	removed    []string
	defaults   map[string]string
	exceptions []Exception
	rest       bool
}

// NewDelta returns a delta without defaults and exceptions; base is 0 for one that replaces everything.
func NewDelta(base, revision uint64, changed []Workspace, removed []string) Delta {
	return Delta{base: base, revision: revision, changed: changed, removed: removed}
}

// WithSettings returns the delta with the defaults and exceptions after it.
func (d Delta) WithSettings(defaults map[string]string, exceptions []Exception) Delta {
	d.defaults, d.exceptions, d.rest = defaults, exceptions, true
	return d
}

// Base returns the revision that the delta starts from.
func (d Delta) Base() uint64 { return d.base }

// Revision returns the revision after the delta.
func (d Delta) Revision() uint64 { return d.revision }

// Changed returns the workspaces that are new or differ, which the caller must not modify.
func (d Delta) Changed() []Workspace { return d.changed }

// Removed returns the names of the workspaces that are gone, which the caller must not modify.
func (d Delta) Removed() []string { return d.removed }

// Settings returns the defaults and exceptions after the delta, if they differ from those before.
func (d Delta) Settings() (defaults map[string]string, exceptions []Exception, ok bool) {
	return d.defaults, d.exceptions, d.rest
}

// Diff returns the delta from one configuration to a later one.
func Diff(from, to *Config) Delta {
	d := Delta{base: from.revision, revision: to.revision}
	for _, w := range to.workspaces {
		if old, ok := from.Workspace(w.name); !ok || !old.equal(w) {
			d.changed = append(d.changed, w)
		}
	}
	for _, w := range from.workspaces {
		if _, ok := to.Workspace(w.name); !ok {
			d.removed = append(d.removed, w.name)
		}
	}
	if !maps.Equal(from.defaults, to.defaults) || !slices.Equal(from.exceptions, to.exceptions) {
		d = d.WithSettings(to.defaults, to.exceptions)
	}
	return d
}

// Apply returns the configuration after a delta; it fails when the delta starts from another revision.
func (c *Config) Apply(d Delta) (next *Config, err error) {
	if d.base != c.revision {
		return nil, fmt.Errorf("configuration is at revision %d, the change starts from %d", c.revision, d.base)
	}
	workspaces := slices.Clone(c.workspaces)
	for _, name := range d.removed {
		if i, ok := position(workspaces, name); ok {
			workspaces = slices.Delete(workspaces, i, i+1)
		}
	}
	for _, w := range d.changed {
		if i, ok := position(workspaces, w.name); ok {
			workspaces[i] = w
		} else {
			workspaces = slices.Insert(workspaces, i, w)
		}
	}
	defaults, exceptions := c.defaults, c.exceptions
	if d.rest {
		defaults, exceptions = d.defaults, sortedExceptions(d.exceptions)
	}
	if next, err = newConfig(workspaces, defaults, exceptions); err != nil {
		return nil, err
	}
	return next.WithRevision(d.revision), nil
}
