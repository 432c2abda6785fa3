package admission

import "sync/atomic"

// Gate counts the requests of one workspace at one entry process.
type Gate struct {
	inFlight atomic.Int64
	queued   atomic.Int64
}

// NewGate returns a gate that nothing has entered.
func NewGate() *Gate { return &Gate{} }

// Enter counts a request as in flight unless limit is reached.
func (g *Gate) Enter(limit int) bool { return enter(&g.inFlight, limit) }

// Leave counts a request as ended.
func (g *Gate) Leave() { g.inFlight.Add(-1) }

// EnterQueue counts a request as waiting unless limit is reached.
func (g *Gate) EnterQueue(limit int) bool { return enter(&g.queued, limit) }

// LeaveQueue counts a request as no longer waiting.
func (g *Gate) LeaveQueue() { g.queued.Add(-1) }

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Queued returns the number of requests that wait.
func (g *Gate) Queued() int64 { return g.queued.Load() }

func enter(counter *atomic.Int64, limit int) bool {
	if counter.Add(1) <= int64(limit) {
		return true
	}
	counter.Add(-1)
	return false
}
