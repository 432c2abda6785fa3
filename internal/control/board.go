package control

import (
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/task"
)

// Board is what the controllers of a control process publish. What each agent tells every second
// has sections of its own, so that it wakes neither watchers nor the planner.
type Board struct {
	state    *board.Section[registry.State]             // written by the applier
	roster   *board.Section[*Roster]                    // written by the roster keeper
	reports  *board.Section[board.Table[[]task.Report]] // written by the roster keeper
	inFlight *board.Section[board.Table[int]]           // written by the roster keeper
	starts   *board.Section[[]plan.StartOutcome]        // written by the gang driver
	mutes    *board.Section[board.Table[mute]]          // written by the gang driver
	explains *board.Section[board.Table[string]]        // written by the scheduler
	elected  *board.Section[fleet.Leadership]           // written by the observer of elections
	short    *board.Section[board.Table[string]]        // written by the scheduler
}

func newBoard() *Board {
	return &Board{
		state:    board.NewSection(registry.NewState()),
		roster:   board.NewSection(newRoster()),
		reports:  board.NewSection(board.NewTable[[]task.Report]()),
		inFlight: board.NewSection(board.NewTable[int]()),
		starts:   board.NewSection[[]plan.StartOutcome](nil),
		mutes:    board.NewSection(board.NewTable[mute]()),
		explains: board.NewSection(board.NewTable[string]()),
		elected:  board.NewSection(fleet.Leadership{}),
		short:    board.NewSection(board.NewTable[string]()),
	}
}

// State returns the section of the replicated state.
func (b *Board) State() *board.Section[registry.State] { return b.state }

// Roster returns the section of the live fleet.
func (b *Board) Roster() *board.Section[*Roster] { return b.roster }

// Reports returns the section of the latest tasks of each live worker.
func (b *Board) Reports() *board.Section[board.Table[[]task.Report]] { return b.reports }

// InFlight returns the section of the latest number of requests in flight at each live endpoint.
func (b *Board) InFlight() *board.Section[board.Table[int]] { return b.inFlight }
