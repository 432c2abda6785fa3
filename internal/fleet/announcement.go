package fleet

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/task"
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

// EqualExceptLoad reports whether an announcement differs from an earlier one in nothing but the requests in flight.
func (a Announcement) EqualExceptLoad(earlier Announcement) bool {
	return !earlier.endpoint.IsZero() && a.endpoint.EqualExceptLoad(earlier.endpoint) && slices.Equal(a.tasks, earlier.tasks)
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

// LeaseDuration returns how long the announcement counts.
func (r Receipt) LeaseDuration() time.Duration { return r.lease }

// Drained reports whether an operator took the endpoint out of service.
func (r Receipt) Drained() bool { return r.drained }
