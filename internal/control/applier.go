package control

import (
	"github.com/hashicorp/go-hclog"

	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// applier is the controller that applies committed records of the ledger to the replicated state.
type applier struct {
	board  *Board
	logger hclog.Logger
}

func newApplier(b *Board, l hclog.Logger) *applier { return &applier{board: b, logger: l} }

// Apply applies the record at the given index and publishes the resulting state.
// A record that cannot be decoded is logged and denied.
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

// Snapshot returns the encoded state.
func (a *applier) Snapshot() ([]byte, error) { return wire.EncodeState(a.board.state.Load()) }

// Restore replaces the state with the one that a snapshot holds.
func (a *applier) Restore(data []byte) error {
	s, err := wire.DecodeState(data)
	if err != nil {
		return err
	}
	a.board.state.Publish(s)
	return nil
}
