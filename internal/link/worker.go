package link

import (
	"sync"
	"time"
)

// workerIdle is how long a thread that served a stream waits for the next one.
const workerIdle = time.Minute

// task is a stream to serve.
type task struct {
	stream  *Stream
	handler Handler
	ended   *credits
}

func (t task) run() {
	s := t.stream.stream
	t.handler(s.Context(), t.stream)
	s.CancelRead(codeDone)
	_ = s.Close()
	t.ended.give(s)
}

// workers are the threads that serve streams. One that has served a stream takes the next, because its stack has its
// size already: growing the stacks of new threads took 7% of the path's processor time.
type workers struct {
	active *sync.WaitGroup
	idle   chan task     // received by the threads that wait for a stream
	ended  chan struct{} // closed when no thread needs to wait any more
}

func newWorkers(active *sync.WaitGroup) *workers {
	return &workers{active: active, idle: make(chan task), ended: make(chan struct{})}
}

// serve runs a task on a waiting thread, else on a new one.
func (w *workers) serve(t task) {
	select {
	case w.idle <- t:
	default:
		w.active.Go(func() { w.work(t) })
	}
}

// work runs tasks until none has come for workerIdle.
func (w *workers) work(t task) {
	t.run()
	timer := time.NewTimer(workerIdle)
	defer timer.Stop()
	for {
		select {
		case t = <-w.idle:
			t.run()
			timer.Reset(workerIdle)
		case <-timer.C:
			return
		case <-w.ended:
			return
		}
	}
}
