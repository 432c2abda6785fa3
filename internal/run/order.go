package run

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Order tells an agent what to do with its worker.
//
//sumtype:decl
type Order interface{ order() }

// Start begins a run of a task.
type Start struct {
	id          ID
	incarnation batch.Incarnation
	payload     string
	checkpoint  string
	lease       time.Duration
	ticket      string
}

// Stop ends a run, or keeps a late start of it from running.
type Stop struct{ id ID }

// Pace has a run work at a share of its speed.
type Pace struct {
	id      ID
	percent int
}

// RenewLease extends the lease of all that the worker runs, and acknowledges its ends up to a number.
type RenewLease struct {
	incarnation  batch.Incarnation
	lease        time.Duration
	acknowledged int64
	listNow      bool
}

func (Start) order()      {}
func (Stop) order()       {}
func (Pace) order()       {}
func (RenewLease) order() {}

// ID names one run of a task.
type ID struct {
	task batch.TaskID
	run  int
}

// NewID returns the name of a run.
func NewID(task batch.TaskID, run int) ID { return ID{task: task, run: run} }

// Task returns the task.
func (i ID) Task() batch.TaskID { return i.task }

// Run returns the run's number, from 1.
func (i ID) Run() int { return i.run }

// NewStart returns the order to begin a run in the given life of a worker under a lease that ends at a time of the
// worker's clock.
func NewStart(id ID, life batch.Incarnation, payload, checkpoint string, lease time.Duration) Start {
	return Start{id: id, incarnation: life, payload: payload, checkpoint: checkpoint, lease: lease}
}

// ID returns the run.
func (o Start) ID() ID { return o.id }

// Incarnation returns the life of the worker that the order is meant for.
func (o Start) Incarnation() batch.Incarnation { return o.incarnation }

// Payload returns what the task is told to run.
func (o Start) Payload() string { return o.payload }

// Checkpoint returns where the run resumes, or an empty string.
func (o Start) Checkpoint() string { return o.checkpoint }

// WithTicket returns the order with the advisor's approval of the worker.
func (o Start) WithTicket(ticket string) Start {
	o.ticket = ticket
	return o
}

// Ticket returns the advisor's approval of the worker, or an empty string.
func (o Start) Ticket() string { return o.ticket }

// Lease returns when the lease ends on the worker's clock.
func (o Start) Lease() time.Duration { return o.lease }

// NewStop returns the order to end a run.
func NewStop(id ID) Stop { return Stop{id: id} }

// ID returns the run.
func (o Stop) ID() ID { return o.id }

// NewPace returns the order to have a run work at a share of its speed, 0 to 100 percent.
func NewPace(id ID, percent int) Pace { return Pace{id: id, percent: percent} }

// ID returns the run.
func (o Pace) ID() ID { return o.id }

// Percent returns the share of its speed.
func (o Pace) Percent() int { return o.percent }

// NewRenewLease returns the order to extend the lease until a time of the worker's clock, or not at all if that is 0, and to
// acknowledge ends; look asks for a list of the runs at once.
func NewRenewLease(life batch.Incarnation, lease time.Duration, acknowledged int64, look bool) RenewLease {
	return RenewLease{incarnation: life, lease: lease, acknowledged: acknowledged, listNow: look}
}

// Incarnation returns the life of the worker that the order is meant for.
func (o RenewLease) Incarnation() batch.Incarnation { return o.incarnation }

// Lease returns when the lease ends on the worker's clock.
func (o RenewLease) Lease() time.Duration { return o.lease }

// Acknowledged returns the number of the last end that was committed.
func (o RenewLease) Acknowledged() int64 { return o.acknowledged }

// ListNow reports whether the leader asks for a list at once.
func (o RenewLease) ListNow() bool { return o.listNow }

// Envelope is an order and the fencing token that it is given under.
type Envelope struct {
	fencingToken uint64
	order        Order
}

// NewEnvelope returns an order under a fencing token.
func NewEnvelope(fence uint64, o Order) Envelope { return Envelope{fencingToken: fence, order: o} }

// FencingToken returns the fencing token.
func (e Envelope) FencingToken() uint64 { return e.fencingToken }

// Order returns the order.
func (e Envelope) Order() Order { return e.order }
