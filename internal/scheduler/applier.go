package scheduler

import (
	"github.com/hashicorp/go-hclog"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// applier turns the committed commands into the replicated state.
type applier struct {
	state   *board.Section[batch.State]
	decoder batch.Decoder
	logger  hclog.Logger
}

// Apply takes the command at the given index into the state.
func (a *applier) Apply(index uint64, data []byte) batch.Result {
	c, err := wire.DecodeBatch(data)
	if err != nil {
		a.logger.Error("a record of the ledger cannot be read", "index", index, "error", err)
		return batch.NewRejected(err.Error())
	}
	next, result := a.state.Load().Apply(c)
	a.state.Publish(next)
	return result
}

// Snapshot returns the state as one record.
func (a *applier) Snapshot() ([]byte, error) { return wire.EncodeBatchState(a.state.Load()) }

// Restore replaces the state by that of a snapshot.
func (a *applier) Restore(data []byte) (err error) {
	if len(data) == 0 {
		a.state.Publish(batch.NewState(a.decoder))
		return nil
	}
	s, err := wire.DecodeBatchState(a.decoder, data)
	if err == nil {
		a.state.Publish(s)
	}
	return err
}
