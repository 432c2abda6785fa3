package fleet

import "sync/atomic"

// Load counts the requests in flight at an endpoint, as one entry process knows them.
type Load struct {
	own    atomic.Int64
	others atomic.Int64
}

// Begin counts a request that this process sends.
func (l *Load) Begin() { l.own.Add(1) }

// End counts a request that this process ended.
func (l *Load) End() { l.own.Add(-1) }

// Report records the total in flight that the agent gave with an answer.
func (l *Load) Report(total int64) {
	l.others.Store(max(0, total-l.own.Load()))
}

// InFlight returns the estimated number of requests in flight from all processes.
func (l *Load) InFlight() int64 { return l.own.Load() + l.others.Load() }
