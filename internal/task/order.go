package task

import (
	"strconv"
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
)

// ID names one member of one job.
type ID struct {
	job   string
	index int
}

// NewID returns the identity of the member with the given index, from 0.
func NewID(job string, index int) ID { return ID{job: job, index: index} }

// Job returns the identity of the job.
func (i ID) Job() string { return i.job }

// Index returns the position in the gang, from 0.
func (i ID) Index() int { return i.index }

// String returns the job and the index joined by a dot.
func (i ID) String() string { return i.job + "." + strconv.Itoa(i.index) }

// Mark numbers the orders of one reservation; a worker remembers when it took an order with a mark.
type Mark uint64

// Order is what the leader tells an agent to do with a member.
//
//sumtype:decl
type Order interface {
	order()
}

// Reserve holds accelerators on the worker under a lease; nothing runs.
type Reserve struct {
	id           ID
	fence        lease.FencingToken
	mark         Mark
	accelerators int
	length       time.Duration
	payload      string
	watch        Watch
}

// Start runs a reserved member.
type Start struct {
	id    ID
	fence lease.FencingToken
}

// Renew extends the lease of a member to a length that counts from the moment at which the worker
// took the order marked since, so that a renewal that arrives late extends nothing.
type Renew struct {
	id     ID
	fence  lease.FencingToken
	mark   Mark
	since  Mark
	length time.Duration
}

// Stop ends a member and frees its accelerators, after a checkpoint if one is asked for.
type Stop struct {
	id         ID
	fence      lease.FencingToken
	checkpoint bool
}

// Throttle sets the speed of a member in percent; at 0 it waits and holds no accelerators. The worker
// ignores an order with a smaller mark than that of the latest one, which arrives late.
type Throttle struct {
	id      ID
	fence   lease.FencingToken
	mark    Mark
	percent int
}

func (Reserve) order()  {}
func (Start) order()    {}
func (Renew) order()    {}
func (Stop) order()     {}
func (Throttle) order() {}

// NewReserve returns the order to hold accelerators for a lease of the given length.
func NewReserve(
	id ID, fence lease.FencingToken, mark Mark, accelerators int, length time.Duration, payload string,
) Reserve {
	return Reserve{id: id, fence: fence, mark: mark, accelerators: accelerators, length: length, payload: payload}
}

// WithWatch returns the order together with where the members of the gang watch each other.
func (r Reserve) WithWatch(w Watch) Reserve {
	r.watch = w
	return r
}

// NewStart returns the order to run a reserved member.
func NewStart(id ID, fence lease.FencingToken) Start { return Start{id: id, fence: fence} }

// NewRenew returns the order to extend a lease to the given length from the order marked since;
// with since 0 the worker only remembers the mark.
func NewRenew(id ID, fence lease.FencingToken, mark, since Mark, length time.Duration) Renew {
	return Renew{id: id, fence: fence, mark: mark, since: since, length: length}
}

// NewStop returns the order to end a member.
func NewStop(id ID, fence lease.FencingToken, checkpoint bool) Stop {
	return Stop{id: id, fence: fence, checkpoint: checkpoint}
}

// NewThrottle returns the order to set the speed of a member.
func NewThrottle(id ID, fence lease.FencingToken, mark Mark, percent int) Throttle {
	return Throttle{id: id, fence: fence, mark: mark, percent: percent}
}

// ID returns the member.
func (r Reserve) ID() ID { return r.id }

// Fence returns the fencing number of the reservation.
func (r Reserve) Fence() lease.FencingToken { return r.fence }

// Mark returns the number of the order.
func (r Reserve) Mark() Mark { return r.mark }

// Accelerators returns the number of accelerators to hold.
func (r Reserve) Accelerators() int { return r.accelerators }

// Length returns the length of the lease.
func (r Reserve) Length() time.Duration { return r.length }

// Payload returns what the task is told to do.
func (r Reserve) Payload() string { return r.payload }

// Watch returns where the members of the gang watch each other.
func (r Reserve) Watch() Watch { return r.watch }

// ID returns the member.
func (s Start) ID() ID { return s.id }

// Fence returns the fencing number of the reservation.
func (s Start) Fence() lease.FencingToken { return s.fence }

// ID returns the member.
func (r Renew) ID() ID { return r.id }

// Fence returns the fencing number of the reservation.
func (r Renew) Fence() lease.FencingToken { return r.fence }

// Mark returns the number of the order.
func (r Renew) Mark() Mark { return r.mark }

// Since returns the mark of the order that the length counts from.
func (r Renew) Since() Mark { return r.since }

// Length returns the new length of the lease.
func (r Renew) Length() time.Duration { return r.length }

// ID returns the member.
func (s Stop) ID() ID { return s.id }

// Fence returns the fencing number of the reservation.
func (s Stop) Fence() lease.FencingToken { return s.fence }

// Checkpoint reports whether the task is saved before it ends.
func (s Stop) Checkpoint() bool { return s.checkpoint }

// ID returns the member.
func (t Throttle) ID() ID { return t.id }

// Fence returns the fencing number of the reservation.
func (t Throttle) Fence() lease.FencingToken { return t.fence }

// Mark returns the number of the order.
func (t Throttle) Mark() Mark { return t.mark }

// Percent returns the share of full speed, from 0 to 100.
func (t Throttle) Percent() int { return t.percent }

// IDOf returns the member that an order is for.
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
