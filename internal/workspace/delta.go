package workspace

import (
	"fmt"
	"maps"
	"slices"
)

// Delta is the difference between two revisions of the configuration, so that for a change of one workspace, a watcher
// receives one workspace instead of all of them.
type Delta struct {
	base        uint64
	revision    uint64
	changed     []Workspace
	removed     []string
	defaults    map[string]string
	exceptions  []Exception
	hasSettings bool
}

// NewDelta returns a delta that leaves defaults and exceptions unchanged; base is 0 for one that replaces everything.
func NewDelta(base, revision uint64, changed []Workspace, removed []string) Delta {
	return Delta{base: base, revision: revision, changed: changed, removed: removed}
}

// WithSettings returns a copy that replaces all defaults and exceptions by the given ones.
func (d Delta) WithSettings(defaults map[string]string, exceptions []Exception) Delta {
	d.defaults, d.exceptions, d.hasSettings = defaults, exceptions, true
	return d
}

// Base returns the revision that the delta applies to.
func (d Delta) Base() uint64 { return d.base }

// Revision returns the revision that the delta leads to.
func (d Delta) Revision() uint64 { return d.revision }

// Changed returns the workspaces that are new or differ; the caller must not modify them.
func (d Delta) Changed() []Workspace { return d.changed }

// Removed returns the names of the workspaces that are removed; the caller must not modify them.
func (d Delta) Removed() []string { return d.removed }

// Settings returns the defaults and exceptions after the delta; ok is false if the delta leaves them unchanged.
func (d Delta) Settings() (defaults map[string]string, exceptions []Exception, ok bool) {
	return d.defaults, d.exceptions, d.hasSettings
}

// Diff returns the delta that leads from one configuration to a later one.
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

// Apply returns the configuration after a delta; it fails if the base of the delta is not the revision of c.
func (c *Config) Apply(d Delta) (next *Config, err error) {
	if d.base != c.revision {
		return nil, fmt.Errorf("configuration is at revision %d, the change starts from %d", c.revision, d.base)
	}
	workspaces := slices.Clone(c.workspaces)
	for _, name := range d.removed {
		if i, ok := search(workspaces, name); ok {
			workspaces = slices.Delete(workspaces, i, i+1)
		}
	}
	for _, w := range d.changed {
		if i, ok := search(workspaces, w.name); ok {
			workspaces[i] = w
		} else {
			workspaces = slices.Insert(workspaces, i, w)
		}
	}
	defaults, exceptions := c.defaults, c.exceptions
	if d.hasSettings {
		defaults, exceptions = d.defaults, sortedExceptions(d.exceptions)
	}
	if next, err = newConfig(workspaces, defaults, exceptions); err != nil {
		return nil, err
	}
	return next.WithRevision(d.revision), nil
}
