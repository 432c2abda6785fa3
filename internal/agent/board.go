package agent

import (
	"context"
	"sync/atomic"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/task"
)

// Board is what the controllers of an agent publish.
type Board struct {
	probed   *board.Section[fleet.EndpointState] // written by the prober
	drained  *board.Section[bool]                // written by the announcer
	stopping *board.Section[bool]                // written by Run
	tasks    *board.Section[[]task.Report]       // written by the reporter
	watched  *board.Section[[]task.Watched]      // written by the reporter
	inFlight atomic.Int64
	idle     chan struct{} // receives a notice when a stopping process has nothing in flight
}

func newBoard() *Board {
	return &Board{
		probed:   board.NewSection(fleet.Silent),
		drained:  board.NewSection(false),
		stopping: board.NewSection(false),
		tasks:    board.NewSection[[]task.Report](nil),
		watched:  board.NewSection[[]task.Watched](nil),
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

// InFlight returns the number of requests in flight at the endpoint.
func (b *Board) InFlight() int64 { return b.inFlight.Load() }

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

func (b *Board) leave() {
	if b.inFlight.Add(-1) > 0 || !b.stopping.Load() {
		return
	}
	select {
	case b.idle <- struct{}{}:
	default:
	}
}

// waitIdle returns when nothing is in flight; it is for the one thread that set the stopping section.
func (b *Board) waitIdle(ctx context.Context) error {
	for b.inFlight.Load() > 0 {
		select {
		case <-b.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
