package scheduler

import (
	"fmt"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// applier applies committed commands to the replicated state.
type applier struct {
	state   *board.Section[batch.State]
	decoder batch.Decoder
	logger  hclog.Logger
}

// Apply applies the command at the given index; one that cannot be decoded, or on which the state panics, is rejected
// and leaves the state unchanged. All replicas reject it alike, since what a command does depends on the state alone.
func (a *applier) Apply(index uint64, data []byte) (result batch.Result) {
	defer func() {
		if r := recover(); r != nil {
			a.logger.Error("a record of the ledger panics", "index", index, "panic", fmt.Sprint(r), "stack", string(debug.Stack()))
			result = batch.NewRejected("internal error")
		}
	}()
	c, err := wire.DecodeBatch(data)
	if err != nil {
		a.logger.Error("a record of the ledger cannot be read", "index", index, "error", err)
		return batch.NewRejected(err.Error())
	}
	next, applied := a.state.Load().Apply(c)
	a.state.Publish(next)
	return applied
}

// Snapshot returns the encoded state.
func (a *applier) Snapshot() ([]byte, error) { return wire.EncodeBatchState(a.state.Load()) }

// Restore replaces the state by that of a snapshot, or by an empty state if the snapshot is empty.
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
