package ledger

import "time"

// Timing holds the durations that a core keeps to.
type Timing struct {
	lease       time.Duration
	heartbeat   time.Duration
	electionMin time.Duration
	electionMax time.Duration
}

// DefaultTiming returns a leader lease of 1 s, a heartbeat each 100 ms and an
// election timeout of 1.1 s to 1.5 s. The lower bound is above the lease plus its
// margin of 5%, and the upper one leaves 0.5 s of the 2 s that a lost leader may cost.
func DefaultTiming() Timing {
	return Timing{
		lease:       time.Second,
		heartbeat:   100 * time.Millisecond,
		electionMin: 1100 * time.Millisecond,
		electionMax: 1500 * time.Millisecond,
	}
}

// ShortTiming returns a leader lease of 500 ms, a heartbeat each 80 ms and an election timeout of 550 ms to 800 ms, for
// members whose messages take a few milliseconds.
func ShortTiming() Timing {
	return Timing{
		lease:       500 * time.Millisecond,
		heartbeat:   80 * time.Millisecond,
		electionMin: 550 * time.Millisecond,
		electionMax: 800 * time.Millisecond,
	}
}

// WithElection returns a timing with the given bounds of the election timeout; the
// lower bound is raised where the leader lease asks for more.
func (t Timing) WithElection(least, most time.Duration) Timing {
	t.electionMin = max(least, t.lease*11/10)
	t.electionMax = max(most, t.electionMin+t.heartbeat)
	return t
}

// Lease returns the length of the leader lease.
func (t Timing) Lease() time.Duration { return t.lease }

// Heartbeat returns the time between two heartbeats.
func (t Timing) Heartbeat() time.Duration { return t.heartbeat }
