package intake

import (
	"math"
	"time"
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

// WithinMemory returns a copy that holds no more than NewLimits allows a process that may use the given memory; 0 stands
// for no limit on it.
func (l Limits) WithinMemory(memory int64, connectionShare float64) Limits {
	if memory == 0 {
		return l
	}
	allowed := NewLimits(memory, math.MaxInt32, connectionShare)
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

// Pace bounds how slowly a body may arrive; it is immutable.
type Pace struct {
	interval time.Duration
	minimum  int64 // bytes in each interval
	total    time.Duration
}

// NewPace returns a pace at which a body needs the given number of bytes or its end in each interval, and its end
// within total.
func NewPace(minimum int64, interval, total time.Duration) Pace {
	return Pace{interval: interval, minimum: minimum, total: total}
}

// paceInterval is the time in which a body has to arrive at its least rate.
const paceInterval = 5 * time.Second

// NewPaceOf returns a pace of the given bytes per second, counted over paceInterval, for bodies that arrive within total.
func NewPaceOf(rate int, total time.Duration) Pace {
	return NewPace(int64(rate)*int64(paceInterval/time.Second), paceInterval, total)
}

// DefaultPace returns the pace for clients whose links may lose packets for some seconds.
func DefaultPace() Pace { return NewPaceOf(1<<10, 30*time.Second) }

// Progress is how far a body has arrived.
type Progress struct {
	pace       Pace
	begunAt    time.Time
	intervalAt time.Time
	bytes      int64 // in the interval
}

// Begin returns the progress of a body of which nothing has arrived.
func (p Pace) Begin(now time.Time) Progress { return Progress{pace: p, begunAt: now, intervalAt: now} }

// endingBy returns a copy whose body has to be whole by a time, unless that is zero or later than the pace's.
func (p Progress) endingBy(until time.Time) Progress {
	if total := until.Sub(p.begunAt); !until.IsZero() && total < p.pace.total {
		p.pace.total = total
	}
	return p
}

// Advance records n bytes that arrived.
func (p *Progress) Advance(now time.Time, n int) {
	if p.bytes += int64(n); p.bytes >= p.pace.minimum {
		p.intervalAt, p.bytes = now, 0
	}
}

// Deadline returns the time by which more of the body has to have arrived.
func (p *Progress) Deadline() time.Time {
	end, next := p.begunAt.Add(p.pace.total), p.intervalAt.Add(p.pace.interval)
	if next.Before(end) {
		return next
	}
	return end
}

// TooSlow reports whether the deadline has passed.
func (p *Progress) TooSlow(now time.Time) bool { return !now.Before(p.Deadline()) }
