package fleet

import "rosemarywind.example/rosemarywind/internal/workspace"

// Update brings a watcher from one revision of the fleet and configuration to the next.
type Update struct {
	full     bool
	revision uint64
	changed  []Endpoint
	removed  []string
	config   *workspace.Delta
}

// NewUpdate returns a change of the fleet; a full one replaces all that the watcher has.
func NewUpdate(full bool, revision uint64, changed []Endpoint, removed []string) Update {
	return Update{full: full, revision: revision, changed: changed, removed: removed}
}

// WithConfig returns the update together with a change of the configuration.
func (u Update) WithConfig(d workspace.Delta) Update {
	u.config = &d
	return u
}

// Full reports whether the update replaces all that the watcher has.
func (u Update) Full() bool { return u.full }

// Revision returns the revision of the fleet after the update.
func (u Update) Revision() uint64 { return u.revision }

// Changed returns the endpoints that are new or differ.
func (u Update) Changed() []Endpoint { return u.changed }

// Removed returns the names of the endpoints that are gone.
func (u Update) Removed() []string { return u.removed }

// Config returns the change of the configuration, if there is one.
func (u Update) Config() (d workspace.Delta, ok bool) {
	if u.config == nil {
		return workspace.Delta{}, false
	}
	return *u.config, true
}

// Diff returns the update that leads from one snapshot to the next.
func Diff(from, to *Snapshot) Update {
	u := Update{revision: to.revision}
	if from == to {
		return u
	}
	old := from.endpoints
	for _, e := range to.endpoints {
		for len(old) > 0 && old[0].Name() < e.Name() {
			u.removed, old = append(u.removed, old[0].Name()), old[1:]
		}
		if len(old) == 0 || old[0].Name() != e.Name() {
			u.changed = append(u.changed, e)
			continue
		}
		if !old[0].EqualExceptLoad(e) {
			u.changed = append(u.changed, e)
		}
		old = old[1:]
	}
	for _, e := range old {
		u.removed = append(u.removed, e.Name())
	}
	return u
}
