package scheduler

import (
	"context"
	"errors"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
)

// ErrNoMachine reports that a machine no longer exists.
var ErrNoMachine = errors.New("machine does not exist")

// Maintainer takes machines down for maintenance.
type Maintainer interface {
	// Maintain takes a machine down for a wave, under the fencing token of this leader; it is idempotent per wave. It
	// fails with ErrNoMachine if the machine no longer exists; after any other error the call may have been carried out.
	Maintain(ctx context.Context, wave int64, machine string, fencingToken uint64) error
}

// maintenanceTimeout bounds one call of Maintainer.Maintain.
const maintenanceTimeout = 3 * time.Second

// maintenanceEnded is the event that an attempt to take a machine down has ended.
type maintenanceEnded struct {
	term  uint64
	order dispatch.Maintenance
	err   error
}

func (maintenanceEnded) event() {}

// requestMaintenance takes a machine down in the background and sends the result to the leader's loop.
func (l *leaderLoop) requestMaintenance(ctx context.Context, term uint64, m dispatch.Maintenance) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
		defer cancel()
		err := errors.New("no maintainer is configured")
		if l.maintainer != nil {
			err = l.maintainer.Maintain(ctx, m.Wave(), m.Machine(), term)
		}
		l.sendEvent(context.WithoutCancel(ctx), maintenanceEnded{term: term, order: m, err: err})
	}()
}

// handleMaintenance commits that a machine's maintenance has begun, or that the machine is skipped because it does
// not exist.
func (l *leaderLoop) handleMaintenance(ctx context.Context, core *dispatch.Core, term uint64, e maintenanceEnded) {
	l.logger.Info("maintenance", "wave", e.order.Wave(), "machine", e.order.Machine(), "worker", e.order.Worker().ID(), "error", e.err)
	if e.term != term {
		return
	}
	var c batch.Command = batch.NewRecordMaintenance(e.order.Wave(), e.order.Machine(), e.order.Worker())
	switch {
	case errors.Is(e.err, ErrNoMachine):
		c = batch.NewSkipMachine(e.order.Wave(), e.order.Machine())
	case e.err != nil:
		core.MaintenanceFailed(time.Now(), e.order.Machine())
		return
	}
	if l.commit(ctx, c) == nil {
		core.MaintenanceFailed(time.Now(), e.order.Machine())
	}
}
