package task

import (
	"strconv"
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
)

// ID identifies one member of one job.
type ID struct {
	job   string
	index int
}

// NewID returns the ID of the member of a job with the given index, from 0.
func NewID(job string, index int) ID { return ID{job: job, index: index} }

// Job returns the ID of the job.
func (i ID) Job() string { return i.job }

// Index returns the position of the member in its gang, from 0.
func (i ID) Index() int { return i.index }

// String returns the job's ID and the index joined by a dot.
func (i ID) String() string { return i.job + "." + strconv.Itoa(i.index) }

// Sequence numbers the orders of one reservation; a worker records when it accepted an order with such a number.
type Sequence uint64

// Order is an instruction of the leader to an agent about one member.
//
//sumtype:decl
type Order interface {
	order()
}

// Reserve reserves accelerators on the worker under a lease; nothing runs yet.
type Reserve struct {
	id            ID
	fencingToken  lease.FencingToken
	sequence      Sequence
	accelerators  int
	leaseDuration time.Duration
	payload       string
	watch         GangWatch
}

// Start runs a reserved member.
type Start struct {
	id           ID
	fencingToken lease.FencingToken
}

// Renew extends the lease of a member. The new duration counts from the time at which the worker accepted the order
// numbered baseSequence, so a renewal that arrives late extends nothing.
type Renew struct {
	id            ID
	fencingToken  lease.FencingToken
	sequence      Sequence
	baseSequence  Sequence
	leaseDuration time.Duration
}

// Stop ends a member and releases its accelerators, after a checkpoint if checkpoint is set.
type Stop struct {
	id           ID
	fencingToken lease.FencingToken
	checkpoint   bool
}

// Throttle sets the speed of a member in percent; at 0 the member waits and holds no accelerators. The worker ignores an
// order that arrives after one with a larger sequence number.
type Throttle struct {
	id           ID
	fencingToken lease.FencingToken
	sequence     Sequence
	percent      int
}

func (Reserve) order()  {}
func (Start) order()    {}
func (Renew) order()    {}
func (Stop) order()     {}
func (Throttle) order() {}

// NewReserve returns the order to reserve accelerators for one lease, without a watch over the gang.
func NewReserve(
	id ID, fencingToken lease.FencingToken, sequence Sequence, accelerators int, leaseDuration time.Duration, payload string,
) Reserve {
	return Reserve{id: id, fencingToken: fencingToken, sequence: sequence, accelerators: accelerators, leaseDuration: leaseDuration, payload: payload}
}

// WithWatch returns a copy with the hub that detects the loss of members of the gang.
func (r Reserve) WithWatch(w GangWatch) Reserve {
	r.watch = w
	return r
}

// NewStart returns the order to run a member that is reserved under the given fencing token.
func NewStart(id ID, fencingToken lease.FencingToken) Start {
	return Start{id: id, fencingToken: fencingToken}
}

// NewRenew returns the order to extend a lease to leaseDuration after the worker accepted the order numbered
// baseSequence. If that is 0, nothing is extended and the worker only records when it accepted the order.
func NewRenew(id ID, fencingToken lease.FencingToken, sequence, baseSequence Sequence, leaseDuration time.Duration) Renew {
	return Renew{id: id, fencingToken: fencingToken, sequence: sequence, baseSequence: baseSequence, leaseDuration: leaseDuration}
}

// NewStop returns the order to end a member, after a checkpoint if checkpoint is set.
func NewStop(id ID, fencingToken lease.FencingToken, checkpoint bool) Stop {
	return Stop{id: id, fencingToken: fencingToken, checkpoint: checkpoint}
}

// NewThrottle returns the order to set the speed of a member to a percentage from 0 to 100.
func NewThrottle(id ID, fencingToken lease.FencingToken, sequence Sequence, percent int) Throttle {
	return Throttle{id: id, fencingToken: fencingToken, sequence: sequence, percent: percent}
}

// ID returns the member that the order is for.
func (r Reserve) ID() ID { return r.id }

// FencingToken returns the fencing token of the reservation; the worker refuses the order if it is out of date.
func (r Reserve) FencingToken() lease.FencingToken { return r.fencingToken }

// Sequence returns the sequence number of the order within its reservation.
func (r Reserve) Sequence() Sequence { return r.sequence }

// Accelerators returns the number of accelerators to reserve.
func (r Reserve) Accelerators() int { return r.accelerators }

// LeaseDuration returns how long the lease lasts unless it is renewed.
func (r Reserve) LeaseDuration() time.Duration { return r.leaseDuration }

// Payload returns the instruction that the agent passes to the task.
func (r Reserve) Payload() string { return r.payload }

// Watch returns the hub that detects the loss of members, the zero value if the gang has none.
func (r Reserve) Watch() GangWatch { return r.watch }

// ID returns the member that the order is for.
func (s Start) ID() ID { return s.id }

// FencingToken returns the fencing token of the reservation; the worker refuses the order if it is out of date.
func (s Start) FencingToken() lease.FencingToken { return s.fencingToken }

// ID returns the member that the order is for.
func (r Renew) ID() ID { return r.id }

// FencingToken returns the fencing token of the reservation; the worker refuses the order if it is out of date.
func (r Renew) FencingToken() lease.FencingToken { return r.fencingToken }

// Sequence returns the sequence number of the order within its reservation.
func (r Renew) Sequence() Sequence { return r.sequence }

// BaseSequence returns the number of the order that the duration counts from, 0 for a renewal that extends nothing.
func (r Renew) BaseSequence() Sequence { return r.baseSequence }

// LeaseDuration returns the duration of the lease, counted from the order numbered BaseSequence.
func (r Renew) LeaseDuration() time.Duration { return r.leaseDuration }

// ID returns the member that the order is for.
func (s Stop) ID() ID { return s.id }

// FencingToken returns the fencing token of the reservation; the worker refuses the order if it is out of date.
func (s Stop) FencingToken() lease.FencingToken { return s.fencingToken }

// Checkpoint reports whether the agent takes a checkpoint before the task ends.
func (s Stop) Checkpoint() bool { return s.checkpoint }

// ID returns the member that the order is for.
func (t Throttle) ID() ID { return t.id }

// FencingToken returns the fencing token of the reservation; the worker refuses the order if it is out of date.
func (t Throttle) FencingToken() lease.FencingToken { return t.fencingToken }

// Sequence returns the sequence number of the order within its reservation.
func (t Throttle) Sequence() Sequence { return t.sequence }

// Percent returns the speed in percent of full speed, from 0 to 100.
func (t Throttle) Percent() int { return t.percent }

// IDOf returns the ID of the member that an order is for.
func IDOf(o Order) ID {
	switch t := o.(type) {
	case Reserve:
		return t.id
	case Start:
		return t.id
	case Renew:
		return t.id
	case Stop:
		return t.id
	case Throttle:
		return t.id
	}
	return ID{}
}
