package control

import (
	"github.com/hashicorp/go-hclog"

	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// applier is the controller that turns the committed records of the ledger into the replicated state.
type applier struct {
	board  *Board
	logger hclog.Logger
}

func newApplier(b *Board, l hclog.Logger) *applier { return &applier{board: b, logger: l} }

// Apply takes the record at the given index into the state.
func (a *applier) Apply(index uint64, data []byte) registry.Result {
	c, err := wire.DecodeCommand(data)
	if err != nil {
		a.logger.Error("record of the ledger cannot be read", "index", index, "error", err)
		return registry.NewDenied(err.Error())
	}
	next, result := registry.Apply(a.board.state.Load(), c)
	a.board.state.Publish(next)
	return result
}

// Snapshot returns the state as one record.
func (a *applier) Snapshot() ([]byte, error) { return wire.EncodeState(a.board.state.Load()) }

// Restore replaces the state by that of a snapshot.
func (a *applier) Restore(data []byte) error {
	s, err := wire.DecodeState(data)
	if err != nil {
		return err
	}
	a.board.state.Publish(s)
	return nil
}
