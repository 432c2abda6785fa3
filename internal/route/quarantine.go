package route

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
)

const (
	// quarantineDivisor bounds the quarantined endpoints to one in three, so that one workspace whose requests make
	// endpoints fail cannot deprive the other workspaces of all endpoints.
	quarantineDivisor = 3
	// maxPauseDoublings bounds the pause to 8 times the first pause.
	maxPauseDoublings = 3
)

// QuarantineRule quarantines endpoints after consecutive failures. An endpoint that fails immediately has few requests
// in flight, so Choose would prefer it.
type QuarantineRule struct {
	failures int
	pause    time.Duration
}

// NewQuarantineRule returns a rule that quarantines an endpoint after the given number of consecutive failures, 0 for
// never. The pause doubles with each further failure, up to 8 times its first length.
func NewQuarantineRule(failures int, pause time.Duration) QuarantineRule {
	return QuarantineRule{failures: failures, pause: pause}
}

// Record counts the verdict on one request to e, which is an endpoint of s, and reports whether it quarantined e, for
// the first time or again.
func (h QuarantineRule) Record(s *fleet.Snapshot, e fleet.Endpoint, v Verdict, now time.Time) bool {
	l := e.Load()
	switch v {
	case Full, Inconclusive:
		return false
	case Healthy:
		l.RecordSuccess()
		return false
	case Faulty:
	}
	excess := int(l.RecordFailure()) - h.failures
	if h.failures == 0 || excess < 0 || !l.Quarantined() && countSuspects(s)+1 > maxQuarantined(len(s.Ready())) {
		return false
	}
	doublings := 0
	if l.Quarantined() {
		doublings = min(excess, maxPauseDoublings)
	}
	return l.Quarantine(now, now.Add(h.pause<<doublings))
}

// maxQuarantined returns how many of n endpoints may be quarantined: a third, rounded up, but never the only one.
func maxQuarantined(n int) int {
	if n < 2 {
		return 0
	}
	return (n + quarantineDivisor - 1) / quarantineDivisor
}

// countSuspects returns the number of ready endpoints that are quarantined or have not succeeded since.
func countSuspects(s *fleet.Snapshot) (n int) {
	for _, e := range s.Ready() {
		if e.Load().Quarantined() {
			n++
		}
	}
	return n
}
