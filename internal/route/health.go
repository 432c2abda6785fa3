package route

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
)

const (
	// asideShare bounds the endpoints that are set aside to one in three, so that the faulty requests of one workspace
	// cannot take the fleet away from the others.
	asideShare = 3
	// maxPauseDoublings bounds the pause to 8 times the first one.
	maxPauseDoublings = 3
)

// Health sets endpoints aside that fail request after request. An endpoint that fails at once has few requests in
// flight, so the choice by load would prefer it.
type Health struct {
	failures int
	pause    time.Duration
}

// NewHealth returns a rule that sets an endpoint aside after a number of failures in a row, never if it is 0. The pause
// doubles with each further failure, up to 8 times.
func NewHealth(failures int, pause time.Duration) Health {
	return Health{failures: failures, pause: pause}
}

// Record takes in the verdict on one request and reports whether it set the endpoint aside.
func (h Health) Record(s *fleet.Snapshot, e fleet.Endpoint, v Verdict, now time.Time) bool {
	l := e.Load()
	switch v {
	case Full, Unclear:
		return false
	case Sound:
		l.RecordSuccess()
		return false
	case Faulty:
	}
	excess := int(l.RecordFailure()) - h.failures
	if h.failures == 0 || excess < 0 || !l.Quarantined() && suspects(s)+1 > mostAside(len(s.Ready())) {
		return false
	}
	doublings := 0
	if l.Quarantined() {
		doublings = min(excess, maxPauseDoublings)
	}
	return l.Quarantine(now, now.Add(h.pause<<doublings))
}

// mostAside returns how many of n endpoints may be set aside, which is never the only one.
func mostAside(n int) int {
	if n < 2 {
		return 0
	}
	return (n + asideShare - 1) / asideShare
}

func suspects(s *fleet.Snapshot) (n int) {
	for _, e := range s.Ready() {
		if e.Load().Quarantined() {
			n++
		}
	}
	return n
}
