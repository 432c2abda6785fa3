package agent

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/task"
)

// Board is what the controllers of an agent publish.
type Board struct {
	probed   *board.Section[fleet.EndpointState] // written by the prober
	drained  *board.Section[bool]                // written by the announcer
	receipt  *board.Section[time.Time]           // when the leader last took an announcement; written by the announcer
	stopping *board.Section[bool]                // written by Run
	tasks    *board.Section[[]task.Report]       // written by the reporter
	watched  *board.Section[[]task.WatchedTask]  // written by the reporter
	inFlight atomic.Int64
	// exchanges counts the streams of requests until the entry has the answer; it is closedExchanges after a stop.
	exchanges  atomic.Int64
	unanswered atomic.Bool   // an answer may not have arrived
	idle       chan struct{} // receives a notice when a stopping process has no exchange
}

// closedExchanges is below any count, so that no exchange begins after a stop.
const closedExchanges = math.MinInt64 / 2

func newBoard() *Board {
	return &Board{
		probed:   board.NewSection(fleet.Silent),
		drained:  board.NewSection(false),
		receipt:  board.NewSection(time.Time{}),
		stopping: board.NewSection(false),
		tasks:    board.NewSection[[]task.Report](nil),
		watched:  board.NewSection[[]task.WatchedTask](nil),
		idle:     make(chan struct{}, 1),
	}
}

// State returns whether the endpoint takes new work: a planned stop and a drain come before the probe.
func (b *Board) State() fleet.EndpointState {
	if b.stopping.Load() || b.drained.Load() {
		return fleet.Leaving
	}
	return b.probed.Load()
}

// Probed returns the section of what the prober found.
func (b *Board) Probed() *board.Section[fleet.EndpointState] { return b.probed }

// Stopping returns the section that says whether a planned stop has begun.
func (b *Board) Stopping() *board.Section[bool] { return b.stopping }

// InFlight returns the number of requests in flight at the endpoint.
func (b *Board) InFlight() int64 { return b.inFlight.Load() }

// AnnouncedAt returns when the leader last took an announcement, the zero time before the first one.
func (b *Board) AnnouncedAt() time.Time { return b.receipt.Load() }

// Tasks returns the section of the worker's tasks.
func (b *Board) Tasks() *board.Section[[]task.Report] { return b.tasks }

// enter counts a request unless all slots are taken.
func (b *Board) enter(slots int) bool {
	if b.inFlight.Add(1) <= int64(slots) {
		return true
	}
	b.leave()
	return false
}

func (b *Board) leave() { b.inFlight.Add(-1) }

// begin counts an exchange and reports whether it may go on.
func (b *Board) begin() bool { return b.exchanges.Add(1) > 0 }

// end counts an exchange as ended; answered says that the entry does not wait for an answer any more.
func (b *Board) end(answered bool) {
	if !answered {
		b.unanswered.Store(true)
	}
	if b.exchanges.Add(-1) > 0 || !b.stopping.Load() {
		return
	}
	select {
	case b.idle <- struct{}{}:
	default:
	}
}

// waitIdle returns when no exchange is left and none can begin; it is for the thread that set the stopping section.
func (b *Board) waitIdle(ctx context.Context) error {
	for !b.exchanges.CompareAndSwap(0, closedExchanges) {
		select {
		case <-b.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
