package fleet

import (
	"sync/atomic"
	"time"
)

// Load counts the requests in flight and the failures at an endpoint, as one entry process knows them.
type Load struct {
	own      atomic.Int64
	others   atomic.Int64
	failures atomic.Int64
	aside    atomic.Int64 // end of the pause in Unix nanoseconds, 0 for an endpoint that is not set aside
	// The padding fills a cache line, since the loads of different endpoints are written by different threads.
	_ [32]byte
}

// Begin counts a request that this process sends.
func (l *Load) Begin() { l.own.Add(1) }

// End counts a request that this process ended.
func (l *Load) End() { l.own.Add(-1) }

// RecordTotal records the total in flight that the agent gave with the answer to a request that is not ended yet.
func (l *Load) RecordTotal(total int64) {
	// The agent no longer counts the request that it answers, and this process still does.
	l.others.Store(max(0, total-l.own.Load()+1))
}

// OwnInFlight returns the number of requests in flight from this process.
func (l *Load) OwnInFlight() int64 { return l.own.Load() }

// InFlight returns the estimated number of requests in flight from all processes.
func (l *Load) InFlight() int64 { return l.own.Load() + l.others.Load() }

// RecordFailure counts a failure and returns the number in a row.
func (l *Load) RecordFailure() int64 { return l.failures.Add(1) }

// RecordSuccess ends a row of failures.
func (l *Load) RecordSuccess() {
	// A write on each success would move the cache line between threads.
	if l.failures.Load() != 0 {
		l.failures.Store(0)
	}
	if l.aside.Load() != 0 {
		l.aside.Store(0)
	}
}

// Quarantine keeps requests away until the given time, then all but one at a time until one succeeds; it reports false
// if another thread was first.
func (l *Load) Quarantine(now, until time.Time) bool {
	old := l.aside.Load()
	return now.UnixNano() >= old && l.aside.CompareAndSwap(old, until.UnixNano())
}

// Quarantined reports whether the endpoint is set aside, or is tried again with one request at a time.
func (l *Load) Quarantined() bool { return l.aside.Load() != 0 }

// Blocked reports whether no more requests may be sent to the endpoint because of its failures.
func (l *Load) Blocked(now time.Time) bool {
	until := l.aside.Load()
	return until != 0 && (now.UnixNano() < until || l.own.Load() > 0)
}
