package control

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/fleet"
)

// rosterCompleteAfter is how long a new leader collects announcements before it treats an unannounced worker as lost.
const rosterCompleteAfter = 5 * time.Second

// Roster holds the workers that announced themselves to the leader of one term; it is immutable.
type Roster struct {
	snapshot *fleet.Snapshot
	lost     board.Table[fleet.Worker]
	term     uint64
	since    time.Time
}

func newRoster() *Roster {
	return &Roster{snapshot: fleet.NewSnapshot(0, nil), lost: board.NewTable[fleet.Worker]()}
}

// Snapshot returns the endpoints whose announcement lease has not expired.
func (r *Roster) Snapshot() *fleet.Snapshot { return r.snapshot }

// Lost returns the workers, by name, whose announcement lease expired less than lostRetention ago.
func (r *Roster) Lost() board.Table[fleet.Worker] { return r.lost }

// Since returns when this leader began to collect announcements, the zero time if it has not.
func (r *Roster) Since() time.Time { return r.since }

// complete reports whether the leader of the term has collected announcements for rosterCompleteAfter, so that every
// live worker has announced itself.
func (r *Roster) complete(term uint64, now time.Time) bool {
	return r.term == term && !r.since.IsZero() && !now.Before(r.since.Add(rosterCompleteAfter))
}

// silent reports whether the leader of the term treats a worker as unreachable.
func (r *Roster) silent(worker string, term uint64, now time.Time) bool {
	if r.term != term {
		return false
	}
	if _, live := r.snapshot.Find(worker); live {
		return false
	}
	_, lost := r.lost.Get(worker)
	return lost || r.complete(term, now)
}

// zone returns the availability zone of a worker that is live or was lost lately.
func (r *Roster) zone(worker string) (zone string, known bool) {
	if e, live := r.snapshot.Find(worker); live {
		return string(e.Worker().AvailabilityZone()), true
	}
	w, lost := r.lost.Get(worker)
	return string(w.AvailabilityZone()), lost
}
