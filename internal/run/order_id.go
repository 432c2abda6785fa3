package run

import (
	"cmp"
	"strconv"
)

// OrderID identifies an order to start or stop a run, and orders it in time. A run may be ordered to start more than once,
// so what is reported of an order names the order, not the run alone. The zero value precedes all others.
type OrderID struct {
	fencingToken uint64
	number       uint64
}

// NewOrderID returns the id of an order of the leader with the given fencing token, which numbers its orders from 1.
func NewOrderID(fencingToken, number uint64) OrderID {
	return OrderID{fencingToken: fencingToken, number: number}
}

// FencingToken returns the fencing token of the leader that gave the order.
func (i OrderID) FencingToken() uint64 { return i.fencingToken }

// Number returns the number of the order under its fencing token.
func (i OrderID) Number() uint64 { return i.number }

// Before reports whether the order was given before another one.
func (i OrderID) Before(other OrderID) bool {
	return cmp.Or(cmp.Compare(i.fencingToken, other.fencingToken), cmp.Compare(i.number, other.number)) < 0
}

// String returns the fencing token and the number, separated by a dot.
func (i OrderID) String() string {
	return strconv.FormatUint(i.fencingToken, 10) + "." + strconv.FormatUint(i.number, 10)
}

// Settled is a run of which the worker has answered an order.
type Settled struct {
	id    ID
	order OrderID
}

// NewSettled returns a run with the answered order.
func NewSettled(id ID, order OrderID) Settled { return Settled{id: id, order: order} }

// ID returns the id of the run.
func (s Settled) ID() ID { return s.id }

// OrderID returns the id of the answered order.
func (s Settled) OrderID() OrderID { return s.order }
