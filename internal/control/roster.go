package control

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/fleet"
)

// rosterSettles is how long a new leader waits for announcements before it takes an absent worker for a lost one.
const rosterSettles = 5 * time.Second

// Roster is the fleet as the leader of one term knows it from announcements; it is immutable.
type Roster struct {
	snapshot *fleet.Snapshot
	lost     board.Table[fleet.Worker]
	term     uint64
	since    time.Time
}

func newRoster() *Roster {
	return &Roster{snapshot: fleet.NewSnapshot(0, nil), lost: board.NewTable[fleet.Worker]()}
}

// Snapshot returns the endpoints whose announcements count.
func (r *Roster) Snapshot() *fleet.Snapshot { return r.snapshot }

// Lost returns the workers whose announcements lapsed a short while ago.
func (r *Roster) Lost() board.Table[fleet.Worker] { return r.lost }

// Since returns when this leader began to collect announcements.
func (r *Roster) Since() time.Time { return r.since }

// settled reports whether a live worker must have announced itself to the leader of the term by now.
func (r *Roster) settled(term uint64, now time.Time) bool {
	return r.term == term && !r.since.IsZero() && !now.Before(r.since.Add(rosterSettles))
}

// silent reports whether a worker counts as unreachable.
func (r *Roster) silent(worker string, term uint64, now time.Time) bool {
	if r.term != term {
		return false
	}
	if _, live := r.snapshot.Find(worker); live {
		return false
	}
	_, lost := r.lost.Get(worker)
	return lost || r.settled(term, now)
}
