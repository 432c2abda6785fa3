package fleet

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/task"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Announcement is what an agent says of its endpoint and worker.
type Announcement struct {
	endpoint Endpoint
	inFlight int
	tasks    []task.Report
}

// NewAnnouncement returns an announcement with the requests in flight and the tasks of the worker.
func NewAnnouncement(endpoint Endpoint, inFlight int, tasks []task.Report) Announcement {
	return Announcement{endpoint: endpoint, inFlight: inFlight, tasks: tasks}
}

// Endpoint returns the endpoint as the agent sees it.
func (a Announcement) Endpoint() Endpoint { return a.endpoint }

// InFlight returns the number of requests in flight at the endpoint.
func (a Announcement) InFlight() int { return a.inFlight }

// Tasks returns the tasks of the worker, which the caller must not modify.
func (a Announcement) Tasks() []task.Report { return a.tasks }

// Renews reports whether an announcement differs from an earlier one in nothing but the requests in flight.
func (a Announcement) Renews(earlier Announcement) bool {
	return a.endpoint.SameAs(earlier.endpoint) && slices.Equal(a.tasks, earlier.tasks)
}

// Receipt is the leader's answer to an announcement.
type Receipt struct {
	lease   time.Duration
	drained bool
}

// NewReceipt returns a receipt for an announcement that counts for the given lease.
func NewReceipt(lease time.Duration, drained bool) Receipt {
	return Receipt{lease: lease, drained: drained}
}

// Lease returns how long the announcement counts.
func (r Receipt) Lease() time.Duration { return r.lease }

// Drained reports whether an operator took the endpoint out of service.
func (r Receipt) Drained() bool { return r.drained }

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
	for _, e := range to.endpoints {
		if old, ok := from.Find(e.Name()); !ok || !old.SameAs(e) {
			u.changed = append(u.changed, e)
		}
	}
	for _, e := range from.endpoints {
		if _, ok := to.Find(e.Name()); !ok {
			u.removed = append(u.removed, e.Name())
		}
	}
	return u
}
