package fleet

import "rosemarywind.example/rosemarywind/internal/workspace"

// Update is a change of the fleet, of the configuration or of both that a watcher receives.
type Update struct {
	full     bool
	revision uint64
	changed  []Endpoint
	removed  []string
	config   *workspace.Delta
}

// NewUpdate returns a change of the fleet; if full is set, changed lists all endpoints of the fleet.
func NewUpdate(full bool, revision uint64, changed []Endpoint, removed []string) Update {
	return Update{full: full, revision: revision, changed: changed, removed: removed}
}

// WithConfig returns a copy with a change of the configuration.
func (u Update) WithConfig(d workspace.Delta) Update {
	u.config = &d
	return u
}

// Full reports whether Changed lists all endpoints of the fleet, so that others of the watcher are no longer in it.
func (u Update) Full() bool { return u.full }

// Revision returns the revision of the fleet after the update.
func (u Update) Revision() uint64 { return u.revision }

// Changed returns the endpoints that are new or differ, or all endpoints in a full update.
func (u Update) Changed() []Endpoint { return u.changed }

// Removed returns the names of the endpoints that are removed.
func (u Update) Removed() []string { return u.removed }

// Config returns the change of the configuration; ok is false if there is none.
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
