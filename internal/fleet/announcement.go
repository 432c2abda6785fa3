package fleet

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/task"
)

// Announcement is an agent's periodic report to the leader on its endpoint and worker.
type Announcement struct {
	endpoint Endpoint
	inFlight int
	tasks    []task.Report
}

// NewAnnouncement returns an announcement; inFlight is the number of requests in flight at the endpoint.
func NewAnnouncement(endpoint Endpoint, inFlight int, tasks []task.Report) Announcement {
	return Announcement{endpoint: endpoint, inFlight: inFlight, tasks: tasks}
}

// Endpoint returns the endpoint as the agent announces it, without the leader's view of its state.
func (a Announcement) Endpoint() Endpoint { return a.endpoint }

// InFlight returns the number of requests in flight at the endpoint.
func (a Announcement) InFlight() int { return a.inFlight }

// Tasks returns reports on the tasks of the worker; the caller must not modify them.
func (a Announcement) Tasks() []task.Report { return a.tasks }

// EqualExceptLoad reports whether an announcement differs from an earlier one at most in the requests in flight; it is
// false if earlier is the zero value.
func (a Announcement) EqualExceptLoad(earlier Announcement) bool {
	return !earlier.endpoint.IsZero() && a.endpoint.EqualExceptLoad(earlier.endpoint) && slices.Equal(a.tasks, earlier.tasks)
}

// Receipt is the leader's reply to an announcement.
type Receipt struct {
	leaseDuration time.Duration
	drained       bool
}

// NewReceipt returns a receipt for an announcement that expires after leaseDuration.
func NewReceipt(leaseDuration time.Duration, drained bool) Receipt {
	return Receipt{leaseDuration: leaseDuration, drained: drained}
}

// LeaseDuration returns the time after which the announcement expires unless the agent announces again.
func (r Receipt) LeaseDuration() time.Duration { return r.leaseDuration }

// Drained reports whether an operator drained the endpoint.
func (r Receipt) Drained() bool { return r.drained }
