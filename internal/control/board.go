package control

import (
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/plan"
	"rosemarywind.example/rosemarywind/internal/registry"
)

// Board is what the controllers of a control process publish.
type Board struct {
	state    *board.Section[registry.State]      // written by the applier
	roster   *board.Section[*Roster]             // written by the roster keeper
	starts   *board.Section[[]plan.Start]        // written by the gang driver
	explains *board.Section[board.Table[string]] // written by the scheduler
}

func newBoard() *Board {
	return &Board{
		state:    board.NewSection(registry.NewState()),
		roster:   board.NewSection(newRoster()),
		starts:   board.NewSection[[]plan.Start](nil),
		explains: board.NewSection(board.NewTable[string]()),
	}
}

// State returns the section of the replicated state.
func (b *Board) State() *board.Section[registry.State] { return b.state }

// Roster returns the section of the live fleet.
func (b *Board) Roster() *board.Section[*Roster] { return b.roster }
