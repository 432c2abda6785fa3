package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/route"
)

// Entry is the role of an entry host.
type Entry struct {
	options
	board    *Board
	agents   *link.Pool
	leaders  *link.Pool
	budget   *route.Budget
	queue    *dispatcher
	buffered atomic.Int64
	ids      *identities
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
	e.budget = route.NewBudget(e.retryShare)
	e.queue = newDispatcher(e.board)
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
	w := newWatcher(e.board, e.leaders, e.control, e.logger)
	g.Go(func() error { return w.run(inner) })
	g.Go(func() error { return e.queue.run(inner) })
	server := e.server()
	g.Go(func() error {
		if err := server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
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
		e.stopping.Store(true)
		e.logger.Info("stopping", "grace", e.grace.String())
		graceful, done := context.WithTimeout(inner, e.grace)
		defer done()
		return server.Shutdown(graceful)
	})
	return g.Wait()
}

func (e *Entry) server() *http.Server {
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: e.headerTimeout,
		MaxHeaderBytes:    e.headerLimit,
		IdleTimeout:       time.Minute,
		ErrorLog:          e.logger.StandardLogger(nil),
	}
}
