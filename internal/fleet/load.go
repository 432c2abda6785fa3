package fleet

import (
	"sync/atomic"
	"time"
)

// Load holds the requests in flight and the failures of one endpoint as one entry process knows them. It is safe for
// concurrent use.
type Load struct {
	ownInFlight      atomic.Int64
	otherInFlight    atomic.Int64
	failures         atomic.Int64
	quarantinedUntil atomic.Int64 // end of the quarantine in Unix nanoseconds, 0 if there is none
	// The padding fills a cache line, since different threads write the loads of different endpoints.
	_ [32]byte
}

// Begin counts a request that this process sends to the endpoint.
func (l *Load) Begin() { l.ownInFlight.Add(1) }

// End removes a request of this process from the count when it ends.
func (l *Load) End() { l.ownInFlight.Add(-1) }

// RecordTotal records the number of requests in flight from all processes, which the agent sends with its response; the
// caller calls End for that request afterwards.
func (l *Load) RecordTotal(total int64) {
	// The agent no longer counts the request that it responds to, but this process still does.
	l.otherInFlight.Store(max(0, total-l.ownInFlight.Load()+1))
}

// OwnInFlight returns the number of requests in flight that this process sent.
func (l *Load) OwnInFlight() int64 { return l.ownInFlight.Load() }

// InFlight returns the estimated number of requests in flight from all processes.
func (l *Load) InFlight() int64 { return l.ownInFlight.Load() + l.otherInFlight.Load() }

// RecordFailure counts a failure and returns the number of consecutive ones.
func (l *Load) RecordFailure() int64 { return l.failures.Add(1) }

// RecordSuccess resets the count of consecutive failures and ends the quarantine.
func (l *Load) RecordSuccess() {
	// A write on each success would move the cache line between processors, so write only on a change.
	if l.failures.Load() != 0 {
		l.failures.Store(0)
	}
	if l.quarantinedUntil.Load() != 0 {
		l.quarantinedUntil.Store(0)
	}
}

// Quarantine blocks all requests until the given time, and afterwards all but one at a time until one succeeds. It reports
// false if the endpoint is in quarantine already or another thread was first.
func (l *Load) Quarantine(now, until time.Time) bool {
	old := l.quarantinedUntil.Load()
	return now.UnixNano() >= old && l.quarantinedUntil.CompareAndSwap(old, until.UnixNano())
}

// Quarantined reports whether the endpoint is in quarantine, including the time when it gets one request at a time.
func (l *Load) Quarantined() bool { return l.quarantinedUntil.Load() != 0 }

// Blocked reports whether the quarantine forbids another request at now.
func (l *Load) Blocked(now time.Time) bool {
	until := l.quarantinedUntil.Load()
	return until != 0 && (now.UnixNano() < until || l.ownInFlight.Load() > 0)
}
