package ledger

import "time"

// Timing holds the timeouts and intervals of Raft. All members must use the same ones.
type Timing struct {
	lease       time.Duration
	heartbeat   time.Duration
	electionMin time.Duration
	electionMax time.Duration
}

// DefaultTiming returns a leader lease of 1 s, a heartbeat interval of 100 ms and an election timeout of 1.1 s to
// 1.5 s. The lower bound exceeds 1.05 s, the lease with its margin of 5% for clock drift. A lost leader must be replaced
// within 2 s, so the upper bound leaves 0.5 s for the election.
func DefaultTiming() Timing {
	return Timing{
		lease:       time.Second,
		heartbeat:   100 * time.Millisecond,
		electionMin: 1100 * time.Millisecond,
		electionMax: 1500 * time.Millisecond,
	}
}

// ShortTiming returns a leader lease of 500 ms, a heartbeat interval of 80 ms and an election timeout of 550 ms to
// 800 ms, for members whose round trips take a few milliseconds.
func ShortTiming() Timing {
	return Timing{
		lease:       500 * time.Millisecond,
		heartbeat:   80 * time.Millisecond,
		electionMin: 550 * time.Millisecond,
		electionMax: 800 * time.Millisecond,
	}
}

// WithElection returns a timing with the given bounds of the election timeout. The lower bound is raised to at least
// 110% of the leader lease, and the upper one to at least one heartbeat interval above the lower one.
func (t Timing) WithElection(low, high time.Duration) Timing {
	t.electionMin = max(low, t.lease*11/10)
	t.electionMax = max(high, t.electionMin+t.heartbeat)
	return t
}

// Lease returns the length of the leader lease, without the margin that the other members add for clock drift.
func (t Timing) Lease() time.Duration { return t.lease }

// Heartbeat returns the interval between two heartbeats of a leader.
func (t Timing) Heartbeat() time.Duration { return t.heartbeat }
