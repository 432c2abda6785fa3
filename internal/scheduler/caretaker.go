package scheduler

import (
	"context"
	"errors"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/dispatch"
)

// ErrNoMachine says that a machine is not there any more.
var ErrNoMachine = errors.New("there is no such machine")

// Caretaker takes machines down for maintenance.
type Caretaker interface {
	// Maintain takes a machine down for a wave, under the fencing token of this leader; a second call for the same wave
	// does nothing. It fails with ErrNoMachine if the machine is gone; after another error it may have been carried out.
	Maintain(ctx context.Context, wave int64, machine string, fence uint64) error
}

// maintenanceTimeout bounds one call to the caretaker.
const maintenanceTimeout = 3 * time.Second

// maintained brings the end of an attempt to the leader's loop.
type maintained struct {
	term  uint64
	order dispatch.Maintenance
	err   error
}

func (maintained) event() {}

// maintain takes a machine down in the background.
func (d *director) maintain(ctx context.Context, term uint64, m dispatch.Maintenance) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
		defer cancel()
		err := errors.New("no caretaker is set")
		if d.caretaker != nil {
			err = d.caretaker.Maintain(ctx, m.Wave(), m.Machine(), term)
		}
		d.tell(context.WithoutCancel(ctx), maintained{term: term, order: m, err: err})
	}()
}

// takeMaintenance commits that a machine's maintenance has begun.
func (d *director) takeMaintenance(ctx context.Context, core *dispatch.Core, term uint64, e maintained) {
	d.logger.Info("maintenance", "wave", e.order.Wave(), "machine", e.order.Machine(), "worker", e.order.Worker().ID(), "error", e.err)
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
	if d.commit(ctx, c) == nil {
		core.MaintenanceFailed(time.Now(), e.order.Machine())
	}
}
