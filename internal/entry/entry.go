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
	"rosemarywind.example/rosemarywind/internal/intake"
	"rosemarywind.example/rosemarywind/internal/link"
)

// connectionMemoryShare is the part of the process's memory that callers' connections may take.
const connectionMemoryShare = 1.0 / 4

// Entry runs the entry role in one process. It is an http.Handler for callers' requests.
type Entry struct {
	options
	board              *Board
	agents             *link.Pool
	leaders            *link.Pool
	queue              *dispatcher
	releaser           *releaser
	limiter            *intake.Limiter
	ids                *requestIDs
	closingConnections atomic.Bool
	metrics            *metrics
	stopping           atomic.Bool
}

// New returns an entry that serves nothing until Run is called.
func New(opts ...Option) *Entry {
	e := &Entry{options: defaultOptions()}
	for _, o := range opts {
		o(&e.options)
	}
	e.board = newBoard()
	e.agents = link.NewPool(e.agentTLS)
	e.leaders = link.NewPool(e.controlTLS)
	e.queue = newDispatcher(e.board)
	e.releaser = newReleaser(e)
	e.ids = newRequestIDs()
	sizes := intake.NewServerSizes(e.bufferedLimit, int64(e.bodyLimit), int64(e.headerLimit))
	limits := intake.NewServerLimits(sizes, e.connectionLimit, intake.NewPaceOf(e.bodyRate, e.bodyTimeout))
	limits = limits.Within(e.resources, connectionMemoryShare)
	e.limiter = intake.NewLimiter(limits, e.registry, e.logger, time.Now)
	e.metrics = newMetrics(e.registry, e.queue.waiting.Load)
	return e
}

// Board returns the board on which the entry's controllers publish.
func (e *Entry) Board() *Board { return e.board }

// Run serves callers until ctx ends or the listener fails, then waits for requests in flight for at most the grace
// period. It closes the connections to agents and control hosts.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("entry: %w", err)
		}
	}()
	defer e.agents.Close()
	defer e.leaders.Close()
	// The controllers run on after ctx ends, since requests in flight need them during the grace period.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g errgroup.Group
	w := newWatcher(e.board, e.leaders, e.control, e.retrySharePercent, e.logger)
	g.Go(func() error { return w.run(inner) })
	g.Go(func() error { return newElectionWatcher(e.board, e.leaders, e.control, e.logger).run(inner) })
	g.Go(func() error { return e.queue.run(inner) })
	g.Go(func() error { return e.releaser.run(inner) })
	server := e.server()
	g.Go(func() error {
		if err := server.Serve(e.limiter.Listen(listener{e.listener}, 1)); !errors.Is(err, http.ErrServerClosed) {
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
		e.shutDown(inner, server)
		return nil
	})
	return g.Wait()
}

// connectionCloseTime is how long a stopping entry continues to serve while it asks callers to close their connections.
// A request that arrives on an idle connection just as the entry closes it would get no answer.
const connectionCloseTime = 500 * time.Millisecond

// shutDown stops the server and waits for requests in flight for at most the grace period.
func (e *Entry) shutDown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, e.grace)
	defer cancel()
	e.closingConnections.Store(true)
	clock.Pause(ctx, connectionCloseTime)
	e.stopping.Store(true)
	if err := server.Shutdown(ctx); err != nil {
		e.logger.Warn("grace is over", "error", err)
		_ = server.Close()
	}
}

func (e *Entry) server() *http.Server {
	s := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: e.headerTimeout,
		IdleTimeout:       time.Minute,
		ErrorLog:          e.logger.StandardLogger(nil),
		ConnContext:       withConnection,
		ConnState:         e.trackConnection,
	}
	e.limiter.Prepare(s)
	return s
}

// InFlight returns the number of requests that count against the in-flight limit of a workspace, 0 if it is unknown.
func (e *Entry) InFlight(workspace string) int64 {
	if s, ok := e.board.policy.Load().workspaces[workspace]; ok {
		return s.limiter.InFlight()
	}
	return 0
}

// Queued returns the number of requests of a workspace that wait for a slot, 0 if the workspace is unknown.
func (e *Entry) Queued(workspace string) int64 {
	if s, ok := e.board.policy.Load().workspaces[workspace]; ok {
		return s.limiter.Queued()
	}
	return 0
}

// BufferedBytes returns the number of bytes held for callers' requests, including those in flight.
func (e *Entry) BufferedBytes() int64 { return e.limiter.HeldBytes() }
