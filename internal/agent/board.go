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

// Board is the blackboard on which the controllers of an agent publish their state; it is safe for concurrent use.
type Board struct {
	probedState *board.Section[fleet.EndpointState] // written by the prober
	drained     *board.Section[bool]                // written by the announcer
	announcedAt *board.Section[time.Time]           // time of the leader's last receipt; written by the announcer
	stopping    *board.Section[bool]                // written by Run
	tasks       *board.Section[[]task.Report]       // written by the reporter
	gangTasks   *board.Section[[]task.WatchedTask]  // those whose gang is monitored; written by the reporter
	inFlight    atomic.Int64
	// exchanges counts the streams of requests that the entry has no answer to yet; it is closedExchanges after a stop.
	exchanges  atomic.Int64
	unanswered atomic.Bool   // set if an answer may not have reached the entry
	allEnded   chan struct{} // receives a value when the last exchange of a stopping agent ends
}

// closedExchanges is so far below any count that beginExchange fails after a stop.
const closedExchanges = math.MinInt64 / 2

func newBoard() *Board {
	return &Board{
		probedState: board.NewSection(fleet.Silent),
		drained:     board.NewSection(false),
		announcedAt: board.NewSection(time.Time{}),
		stopping:    board.NewSection(false),
		tasks:       board.NewSection[[]task.Report](nil),
		gangTasks:   board.NewSection[[]task.WatchedTask](nil),
		allEnded:    make(chan struct{}, 1),
	}
}

// State returns Leaving during a planned stop or a drain, and otherwise the state that the prober found.
func (b *Board) State() fleet.EndpointState {
	if b.stopping.Load() || b.drained.Load() {
		return fleet.Leaving
	}
	return b.probedState.Load()
}

// ProbedState returns the section with the endpoint's state as the prober found it, Silent before the first probe.
func (b *Board) ProbedState() *board.Section[fleet.EndpointState] { return b.probedState }

// Stopping returns the section that is true once a planned stop has begun.
func (b *Board) Stopping() *board.Section[bool] { return b.stopping }

// InFlight returns the number of requests that hold a slot of the endpoint.
func (b *Board) InFlight() int64 { return b.inFlight.Load() }

// AnnouncedAt returns when the leader last acknowledged an announcement, or the zero time before the first one.
func (b *Board) AnnouncedAt() time.Time { return b.announcedAt.Load() }

// Tasks returns the section with the worker's latest list of tasks, which is nil before the first list.
func (b *Board) Tasks() *board.Section[[]task.Report] { return b.tasks }

// acquireSlot counts a request as in flight and reports true, unless all slots are taken.
func (b *Board) acquireSlot(slots int) bool {
	if b.inFlight.Add(1) <= int64(slots) {
		return true
	}
	b.releaseSlot()
	return false
}

func (b *Board) releaseSlot() { b.inFlight.Add(-1) }

// beginExchange counts an exchange; it reports false if the agent has stopped and the exchange must be refused.
func (b *Board) beginExchange() bool { return b.exchanges.Add(1) > 0 }

// endExchange counts an exchange as ended; answered means that the entry no longer waits for an answer.
func (b *Board) endExchange(answered bool) {
	if !answered {
		b.unanswered.Store(true)
	}
	if b.exchanges.Add(-1) > 0 || !b.stopping.Load() {
		return
	}
	select {
	case b.allEnded <- struct{}{}:
	default:
	}
}

// waitIdle waits until all exchanges have ended and refuses further ones; only the goroutine that publishes stopping
// calls it.
func (b *Board) waitIdle(ctx context.Context) error {
	for !b.exchanges.CompareAndSwap(0, closedExchanges) {
		select {
		case <-b.allEnded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
