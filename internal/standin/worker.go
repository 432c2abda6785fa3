package standin

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/task"
)

// snapshot is the published state of the worker; it is immutable.
type snapshot struct {
	version     uint64
	tasks       []record
	checkpoints int
}

// worker applies orders to a Host in real time; its own goroutine is the only one that uses the host and publishes.
type worker struct {
	host      *Host
	calls     chan call
	published *board.Section[snapshot]
}

// call passes one order to the worker's goroutine; reply gets the reason for a refusal, empty if there is none.
type call struct {
	order task.Order
	reply chan string
}

func newWorker(accelerators int) *worker {
	return &worker{
		host: NewHost(accelerators), calls: make(chan call), published: board.NewSection(snapshot{version: 1}),
	}
}

// run applies orders, expires leases and ends tasks until ctx ends.
func (w *worker) run(ctx context.Context) error {
	timer := time.NewTimer(maxIdleWait)
	defer timer.Stop()
	for {
		timer.Reset(w.host.Next(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case c := <-w.calls:
			c.reply <- w.host.Execute(c.order, time.Now())
			w.publish()
		case <-timer.C:
			if w.host.Advance(time.Now()) {
				w.publish()
			}
		}
	}
}

func (w *worker) publish() {
	w.published.Publish(snapshot{version: w.published.Load().version + 1, tasks: w.host.list(), checkpoints: w.host.Checkpoints()})
}
