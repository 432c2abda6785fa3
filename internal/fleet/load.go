package fleet

import "sync/atomic"

// Load counts the requests in flight at an endpoint, as one entry process knows them.
type Load struct {
	own    atomic.Int64
	others atomic.Int64
	// The padding fills a cache line, since the loads of different endpoints are written by different threads.
	_ [48]byte
}

// Begin counts a request that this process sends.
func (l *Load) Begin() { l.own.Add(1) }

// End counts a request that this process ended.
func (l *Load) End() { l.own.Add(-1) }

// Report records the total in flight that the agent gave with the answer to a request that is not ended yet.
func (l *Load) Report(total int64) {
	// The agent no longer counts the request that it answers, and this process still does.
	l.others.Store(max(0, total-l.own.Load()+1))
}

// Own returns the number of requests in flight from this process.
func (l *Load) Own() int64 { return l.own.Load() }

// InFlight returns the estimated number of requests in flight from all processes.
func (l *Load) InFlight() int64 { return l.own.Load() + l.others.Load() }
