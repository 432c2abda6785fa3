package control

import (
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/task"
)

// Board is the blackboard of a control process, with one section for each value that a controller publishes.
// The values that each agent reports every second have sections of their own, so that a report wakes neither the
// watchers of the fleet nor the planner.
type Board struct {
	state            *board.Section[registry.State]               // written by the applier
	roster           *board.Section[*Roster]                      // written by the roster controller
	reports          *board.Section[board.Table[[]task.Report]]   // written by the roster controller
	inFlight         *board.Section[board.Table[int]]             // written by the roster controller
	startOutcomes    *board.Section[[]plan.StartOutcome]          // written by the gang driver
	orderQuarantines *board.Section[board.Table[orderQuarantine]] // written by the gang driver
	explanations     *board.Section[board.Table[string]]          // written by the scheduler
	leadership       *board.Section[fleet.Leadership]             // written by the election observer
	shortfalls       *board.Section[board.Table[string]]          // written by the scheduler
}

func newBoard() *Board {
	return &Board{
		state:            board.NewSection(registry.NewState()),
		roster:           board.NewSection(newRoster()),
		reports:          board.NewSection(board.NewTable[[]task.Report]()),
		inFlight:         board.NewSection(board.NewTable[int]()),
		startOutcomes:    board.NewSection[[]plan.StartOutcome](nil),
		orderQuarantines: board.NewSection(board.NewTable[orderQuarantine]()),
		explanations:     board.NewSection(board.NewTable[string]()),
		leadership:       board.NewSection(fleet.Leadership{}),
		shortfalls:       board.NewSection(board.NewTable[string]()),
	}
}

// State returns the section of the replicated state.
func (b *Board) State() *board.Section[registry.State] { return b.state }

// Roster returns the section of the live and recently lost workers.
func (b *Board) Roster() *board.Section[*Roster] { return b.roster }

// Reports returns the section of the latest task reports of each live worker, by worker name.
func (b *Board) Reports() *board.Section[board.Table[[]task.Report]] { return b.reports }

// InFlight returns the section of the latest number of requests in flight at each live endpoint, by endpoint name.
func (b *Board) InFlight() *board.Section[board.Table[int]] { return b.inFlight }
