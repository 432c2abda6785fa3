package intake

import (
	"cmp"
	"math"
)

const (
	// budgetShare is the part of a process's memory that bodies and heads of requests may take.
	budgetShare = 1.0 / 8
	// reserveShare is the part of the budget that only small bodies and heads may take, so that large ones do not keep
	// ordinary clients out.
	reserveShare = 1.0 / 4
	// peerShare is the part of each limit that the clients at one address may take. It is large because all clients may
	// come through one load balancer.
	peerShare = 7.0 / 8
	// smallBytes is the size up to which a body or the cost of a head counts as small.
	smallBytes = 32 << 10
	// connectionBytes is what a connection takes at most beside the budget: its buffers, its goroutine and data that the
	// process has not read.
	connectionBytes = 64 << 10
	// descriptorShare is the part of the descriptors that clients' connections may take.
	descriptorShare = 3.0 / 4
	// minimumConnections lets a process with very low limits still be reached.
	minimumConnections = 16
	// defaultHeadBytes has room for 16 KiB of header fields and a request line.
	defaultHeadBytes = 20 << 10
)

// Limits bounds what one process holds for its clients; it is immutable.
type Limits struct {
	budgetBytes int64
	connections int
	headBytes   int64
	pace        Pace
}

// NewLimits returns the limits of a process that may use the given memory and descriptors, and whose clients'
// connections may take the given share of the memory.
func NewLimits(memory int64, descriptors int, connectionShare float64) Limits {
	byMemory := int(connectionShare * float64(memory) / connectionBytes)
	byDescriptors := int(descriptorShare * float64(descriptors))
	return Limits{
		budgetBytes: int64(budgetShare * float64(memory)), connections: max(min(byMemory, byDescriptors), minimumConnections),
		headBytes: defaultHeadBytes, pace: DefaultPace(),
	}
}

// ServerSizes are the sizes of what a server takes from its clients, in bytes; it is immutable.
type ServerSizes struct{ bodies, body, head int64 }

// NewServerSizes returns the sizes of a server with room for the given bytes of bodies of one address, whose requests have
// a body and a head of at most the given sizes.
func NewServerSizes(bodies, body, head int64) ServerSizes {
	return ServerSizes{bodies: bodies, body: body, head: head}
}

// budget returns the bytes of a budget in which one address may hold all bodies beside an ordinary head, or one body
// beside the most expensive head.
func (s ServerSizes) budget() int64 {
	one := max(s.bodies+headByteCost*s.head+smallBytes, s.body+headCostFactor*s.head)
	return int64(math.Ceil(float64(one) / (1 - reserveShare) / peerShare))
}

// NewServerLimits returns the limits of a process with a server of the given sizes and a number of connections.
func NewServerLimits(sizes ServerSizes, connections int, pace Pace) Limits {
	return Limits{budgetBytes: sizes.budget(), connections: connections, headBytes: sizes.head, pace: pace}
}

// Resources are what a process may use, with 0 for what is not limited; it is immutable.
type Resources struct {
	memory      int64
	descriptors int
}

// NewResources returns the resources of a process that may use the given bytes of memory and number of descriptors.
func NewResources(memory int64, descriptors int) Resources {
	return Resources{memory: memory, descriptors: descriptors}
}

// Descriptors returns the number of descriptors.
func (r Resources) Descriptors() int { return r.descriptors }

// Within returns a copy that holds no more than NewLimits allows a process with the given resources.
func (l Limits) Within(r Resources, connectionShare float64) Limits {
	allowed := NewLimits(
		cmp.Or(r.memory, math.MaxInt64), cmp.Or(r.descriptors, math.MaxInt32), connectionShare)
	l.budgetBytes = min(l.budgetBytes, allowed.budgetBytes)
	l.connections = min(l.connections, allowed.connections)
	return l
}

// WithPace returns a copy with another pace.
func (l Limits) WithPace(p Pace) Limits {
	l.pace = p
	return l
}

// WithHeadBytes returns a copy with another size of a head, empty lines before it included.
func (l Limits) WithHeadBytes(n int64) Limits {
	l.headBytes = n
	return l
}

// WithBudget returns a copy with another number of bytes that all bodies and heads may take.
func (l Limits) WithBudget(bytes int64) Limits {
	l.budgetBytes = bytes
	return l
}

// WithConnections returns a copy with another number of connections.
func (l Limits) WithConnections(n int) Limits {
	l.connections = n
	return l
}

// BudgetBytes returns the number of bytes that all bodies and heads may take.
func (l Limits) BudgetBytes() int64 { return l.budgetBytes }

// Connections returns the number of clients' connections.
func (l Limits) Connections() int { return l.connections }
