package admission

import "sync/atomic"

// Limiter limits the requests of one workspace at one entry process; it is safe for concurrent use. Limits are passed
// with each call, so a change of the configuration needs no new Limiter.
type Limiter struct {
	inFlight atomic.Int64
	queued   atomic.Int64
}

// NewLimiter returns a Limiter with no request in flight or queued.
func NewLimiter() *Limiter { return &Limiter{} }

// TryAcquire counts a request as in flight and reports true, unless the count then exceeds limit. A refused call is
// counted until it returns, so concurrent calls near the limit may be refused although fewer requests are in flight.
func (l *Limiter) TryAcquire(limit int) bool { return tryIncrement(&l.inFlight, limit) }

// Release ends a request that TryAcquire counted.
func (l *Limiter) Release() { l.inFlight.Add(-1) }

// TryEnqueue counts a request as queued and reports true, unless the count then exceeds limit. A refused call is counted
// until it returns, so concurrent calls near the limit may be refused although fewer requests are queued.
func (l *Limiter) TryEnqueue(limit int) bool { return tryIncrement(&l.queued, limit) }

// Dequeue removes a request that TryEnqueue counted, whether it was served or gave up.
func (l *Limiter) Dequeue() { l.queued.Add(-1) }

// InFlight returns the number of requests in flight, which may briefly exceed the limit during a TryAcquire.
func (l *Limiter) InFlight() int64 { return l.inFlight.Load() }

// Queued returns the number of queued requests, which may briefly exceed the limit during a TryEnqueue.
func (l *Limiter) Queued() int64 { return l.queued.Load() }

func tryIncrement(counter *atomic.Int64, limit int) bool {
	if counter.Add(1) <= int64(limit) {
		return true
	}
	counter.Add(-1)
	return false
}
