package run

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Order is a command of the leader to the agent beside a worker.
//
//sumtype:decl
type Order interface{ order() }

// Start starts a run of a task on a worker.
type Start struct {
	id          ID
	incarnation batch.Incarnation
	payload     string
	checkpoint  string
	lease       time.Duration
	ticket      string
	orderID     OrderID
}

// Stop ends a run; a start of the same run that arrives later has no effect.
type Stop struct {
	id      ID
	orderID OrderID
}

// Pace limits a run to a share of its full speed.
type Pace struct {
	id      ID
	percent int
}

// RenewLease extends the lease of all runs of a worker and acknowledges its reported ends up to a number.
type RenewLease struct {
	incarnation  batch.Incarnation
	lease        time.Duration
	acknowledged int64
	listNow      bool
	speed        Speed
	hasSpeed     bool
}

func (Start) order()      {}
func (Stop) order()       {}
func (Pace) order()       {}
func (RenewLease) order() {}

// ID identifies one run of a task.
type ID struct {
	task batch.TaskID
	run  int
}

// NewID returns the id of a run; runs of a task count from 1.
func NewID(task batch.TaskID, run int) ID { return ID{task: task, run: run} }

// Task returns the id of the task that is run.
func (i ID) Task() batch.TaskID { return i.task }

// Run returns the number of the run, from 1.
func (i ID) Run() int { return i.run }

// NewStart returns the order to start a run on one incarnation of a worker; the lease ends at the given reading of the
// worker's clock.
func NewStart(id ID, incarnation batch.Incarnation, payload, checkpoint string, lease time.Duration) Start {
	return Start{id: id, incarnation: incarnation, payload: payload, checkpoint: checkpoint, lease: lease}
}

// ID returns the id of the run to start.
func (o Start) ID() ID { return o.id }

// Incarnation returns the incarnation of the worker that the order applies to.
func (o Start) Incarnation() batch.Incarnation { return o.incarnation }

// Payload returns the work description that is passed to the worker unchanged.
func (o Start) Payload() string { return o.payload }

// Checkpoint returns the checkpoint to resume from, or an empty string to start from the beginning.
func (o Start) Checkpoint() string { return o.checkpoint }

// WithTicket returns a copy with the ticket by which the external advisor approved the worker.
func (o Start) WithTicket(ticket string) Start {
	o.ticket = ticket
	return o
}

// Ticket returns the ticket by which the external advisor approved the worker, or an empty string.
func (o Start) Ticket() string { return o.ticket }

// WithOrderID returns a copy with the id of the order.
func (o Start) WithOrderID(id OrderID) Start {
	o.orderID = id
	return o
}

// OrderID returns the id of the order.
func (o Start) OrderID() OrderID { return o.orderID }

// Lease returns the reading of the worker's clock at which the lease ends.
func (o Start) Lease() time.Duration { return o.lease }

// NewStop returns the order to end a run, whichever incarnation of the worker is up.
func NewStop(id ID) Stop { return Stop{id: id} }

// ID returns the id of the run to end.
func (o Stop) ID() ID { return o.id }

// WithOrderID returns a copy with the id of the order.
func (o Stop) WithOrderID(id OrderID) Stop {
	o.orderID = id
	return o
}

// OrderID returns the id of the order.
func (o Stop) OrderID() OrderID { return o.orderID }

// NewPace returns the order to limit a run to a share of its full speed, 0 to 100 percent.
func NewPace(id ID, percent int) Pace { return Pace{id: id, percent: percent} }

// ID returns the id of the run to limit.
func (o Pace) ID() ID { return o.id }

// Percent returns the share of the full speed, 0 to 100.
func (o Pace) Percent() int { return o.percent }

// NewRenewLease returns the order to extend the lease until the given reading of the worker's clock, or not at all if
// that is 0, and to acknowledge ends; listNow asks for a list of the runs at once.
func NewRenewLease(incarnation batch.Incarnation, lease time.Duration, acknowledged int64, listNow bool) RenewLease {
	return RenewLease{incarnation: incarnation, lease: lease, acknowledged: acknowledged, listNow: listNow}
}

// Incarnation returns the incarnation of the worker that the order applies to.
func (o RenewLease) Incarnation() batch.Incarnation { return o.incarnation }

// Lease returns the reading of the worker's clock at which the lease ends; 0 leaves the lease as it is.
func (o RenewLease) Lease() time.Duration { return o.lease }

// Acknowledged returns the number up to which all ends are committed, so that the worker need not list them again.
func (o RenewLease) Acknowledged() int64 { return o.acknowledged }

// ListNow reports whether the leader asks for a list of the runs at once.
func (o RenewLease) ListNow() bool { return o.listNow }

// Envelope is an order with the fencing token of the leader that gave it.
type Envelope struct {
	fencingToken uint64
	order        Order
}

// NewEnvelope returns an order with the fencing token of the leader that gives it.
func NewEnvelope(fencingToken uint64, o Order) Envelope {
	return Envelope{fencingToken: fencingToken, order: o}
}

// FencingToken returns the leader's fencing token; an agent ignores an order with a lower token than it has seen.
func (e Envelope) FencingToken() uint64 { return e.fencingToken }

// Order returns the order without its fencing token.
func (e Envelope) Order() Order { return e.order }
