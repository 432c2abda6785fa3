package standin

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/task"
)

// view is what the worker publishes; it is immutable.
type view struct {
	version uint64
	tasks   []record
	saved   int
}

// worker runs a Host in real time; its own goroutine is the only writer.
type worker struct {
	host      *Host
	calls     chan call
	published *board.Section[view]
}

// call is one order for the worker's goroutine.
type call struct {
	order task.Order
	reply chan string
}

func newWorker(accelerators int) *worker {
	return &worker{
		host: NewHost(accelerators), calls: make(chan call), published: board.NewSection(view{version: 1}),
	}
}

// run serves orders, ends leases and finishes tasks until ctx ends.
func (w *worker) run(ctx context.Context) error {
	timer := time.NewTimer(farFuture)
	defer timer.Stop()
	for {
		timer.Reset(w.host.Next(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case c := <-w.calls:
			c.reply <- w.host.CarryOut(c.order, time.Now())
			w.publish()
		case <-timer.C:
			if w.host.Advance(time.Now()) {
				w.publish()
			}
		}
	}
}

func (w *worker) publish() {
	w.published.Publish(view{version: w.published.Load().version + 1, tasks: w.host.list(), saved: w.host.Saved()})
}
