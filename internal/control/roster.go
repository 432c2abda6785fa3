package control

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/task"
)

// Roster is the fleet as the leader knows it from announcements; it is immutable.
type Roster struct {
	snapshot *fleet.Snapshot
	lost     board.Table[fleet.Worker]
	tasks    board.Table[[]task.Report]
	inFlight board.Table[int]
	since    time.Time
}

func newRoster() *Roster {
	return &Roster{
		snapshot: fleet.NewSnapshot(0, nil), lost: board.NewTable[fleet.Worker](),
		tasks: board.NewTable[[]task.Report](), inFlight: board.NewTable[int](),
	}
}

// Snapshot returns the endpoints whose announcements count.
func (r *Roster) Snapshot() *fleet.Snapshot { return r.snapshot }

// Lost returns the workers whose announcements lapsed a short while ago.
func (r *Roster) Lost() board.Table[fleet.Worker] { return r.lost }

// Tasks returns the latest report of each live worker.
func (r *Roster) Tasks() board.Table[[]task.Report] { return r.tasks }

// InFlight returns the latest number of requests in flight at each live endpoint.
func (r *Roster) InFlight() board.Table[int] { return r.inFlight }

// Since returns when this leader began to collect announcements.
func (r *Roster) Since() time.Time { return r.since }
