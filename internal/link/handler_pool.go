package link

import (
	"sync"
	"time"
)

// handlerIdleTimeout is how long an idle goroutine waits for another stream before it ends.
const handlerIdleTimeout = time.Minute

// incoming is an accepted stream with its handler.
type incoming struct {
	stream  *Stream
	handler Handler
	credits *creditBatcher
}

// serve calls the handler, ends both sides of the stream and returns its credit to the peer.
func (i incoming) serve() {
	s := i.stream.stream
	i.handler(s.Context(), i.stream)
	s.CancelRead(codeDone)
	_ = s.Close()
	i.credits.add(s)
}

// handlerPool reuses the goroutines that serve streams, because their stacks have grown already: growing the stacks of
// new goroutines took 7% of the processor time of the request path.
type handlerPool struct {
	active *sync.WaitGroup
	idle   chan incoming // received by idle goroutines
	closed chan struct{} // closed to end idle goroutines
}

func newHandlerPool(active *sync.WaitGroup) *handlerPool {
	return &handlerPool{active: active, idle: make(chan incoming), closed: make(chan struct{})}
}

// serve serves a stream on an idle goroutine, or on a new one if none is idle.
func (p *handlerPool) serve(i incoming) {
	select {
	case p.idle <- i:
	default:
		p.active.Go(func() { p.serveUntilIdle(i) })
	}
}

// serveUntilIdle serves streams until none has arrived for handlerIdleTimeout.
func (p *handlerPool) serveUntilIdle(i incoming) {
	i.serve()
	timer := time.NewTimer(handlerIdleTimeout)
	defer timer.Stop()
	for {
		select {
		case i = <-p.idle:
			i.serve()
			timer.Reset(handlerIdleTimeout)
		case <-timer.C:
			return
		case <-p.closed:
			return
		}
	}
}
