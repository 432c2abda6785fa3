package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/link"
)

// Entry is the role of an entry host.
type Entry struct {
	options
	board    *Board
	agents   *link.Pool
	leaders  *link.Pool
	queue    *dispatcher
	releaser *releaser
	buffered atomic.Int64
	ids      *identities
	leaving  atomic.Bool
	metrics  *metrics
	stopping atomic.Bool
}

// New returns an entry that Run starts.
func New(opts ...Option) *Entry {
	e := &Entry{options: defaults()}
	for _, o := range opts {
		o(&e.options)
	}
	e.board = newBoard()
	e.agents = link.NewPool(e.agentTLS)
	e.leaders = link.NewPool(e.controlTLS)
	e.queue = newDispatcher(e.board)
	e.releaser = newReleaser(e)
	e.ids = newIdentities()
	e.metrics = newMetrics(e.registry, e.queue.waiting.Load)
	return e
}

// Board returns what the controllers publish.
func (e *Entry) Board() *Board { return e.board }

// Run serves callers until ctx ends, then finishes the requests in flight within the grace.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("entry: %w", err)
		}
	}()
	defer e.agents.Close()
	defer e.leaders.Close()
	// The controllers outlive ctx, since requests in flight need them during the grace.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g errgroup.Group
	w := newWatcher(e.board, e.leaders, e.control, e.retryShare, e.logger)
	g.Go(func() error { return w.run(inner) })
	g.Go(func() error { return newElections(e.board, e.leaders, e.control, e.logger).run(inner) })
	g.Go(func() error { return e.queue.run(inner) })
	g.Go(func() error { return e.releaser.run(inner) })
	server := e.server()
	g.Go(func() error {
		if err := server.Serve(listener{e.listener}); !errors.Is(err, http.ErrServerClosed) {
			cancel()
			return err
		}
		return nil
	})
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-inner.Done():
			return nil
		}
		e.logger.Info("stopping", "grace", e.grace.String())
		e.finish(inner, server)
		return nil
	})
	return g.Wait()
}

// leaveTime is how long a stopping entry serves on while it asks callers to close their connections, since a request
// that arrives on an idle connection while it is closed would get no answer.
const leaveTime = 500 * time.Millisecond

// finish serves what is in flight, at most for the grace.
func (e *Entry) finish(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, e.grace)
	defer cancel()
	e.leaving.Store(true)
	clock.Pause(ctx, leaveTime)
	e.stopping.Store(true)
	if err := server.Shutdown(ctx); err != nil {
		e.logger.Warn("grace is over", "error", err)
		_ = server.Close()
	}
}

func (e *Entry) server() *http.Server {
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: e.headerTimeout,
		MaxHeaderBytes:    e.headerLimit,
		IdleTimeout:       time.Minute,
		ErrorLog:          e.logger.StandardLogger(nil),
		ConnContext:       withConnection,
		ConnState:         e.watchConnection,
	}
}

// InFlight returns the number of requests of a workspace that hold a place in its limit.
func (e *Entry) InFlight(workspace string) int64 {
	if t, ok := e.board.policy.Load().tenures[workspace]; ok {
		return t.gate.InFlight()
	}
	return 0
}

// Queued returns the number of requests of a workspace that wait for a slot.
func (e *Entry) Queued(workspace string) int64 {
	if t, ok := e.board.policy.Load().tenures[workspace]; ok {
		return t.gate.Queued()
	}
	return 0
}

// BufferedBytes returns the bytes reserved for callers' bodies.
func (e *Entry) BufferedBytes() int64 { return e.buffered.Load() }
