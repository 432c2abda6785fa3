package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/board"
	"rosemarywind.example/rosemarywind/internal/leader"
	"rosemarywind.example/rosemarywind/internal/link"
	"rosemarywind.example/rosemarywind/internal/run"
)

// Runner connects one worker to the leader. One goroutine decides on calls and reports, another keeps the session.
type Runner struct {
	name      string
	worker    Worker
	pool      *link.Pool
	client    *leader.Client
	logger    hclog.Logger
	announced *board.Section[workerState]
	outgoing  *board.Section[outgoingState]
	speed     *board.Section[heldSpeed]
	inputs    chan input
	reports   chan run.Report
	starting  chan struct{} // holds a value for each start call in progress
	stopping  chan struct{} // holds a value for each stop call in progress
}

// workerState is the worker's latest announcement and whether it is terminating.
type workerState struct {
	announcement run.Announcement
	known        bool // false until the first announcement
	terminating  bool
}

// outgoingState is what the sessions report of the worker.
type outgoingState struct {
	worker     workerState
	exited     bool        // the worker has ended after it had announced its termination
	crashes    []run.Crash // the latest ones, oldest first
	crashCount int         // of all crashes, also those that are no longer among the latest
}

// input is an event that the loop handles.
//
//sumtype:decl
type input interface{ input() }

type orderInput struct{ envelope run.Envelope }

type startedInput struct {
	id          run.ID
	order       run.OrderID
	incarnation batch.Incarnation
	refusal     string
	sentAt      time.Time // when the call was sent; zero if the agent refused the start itself
	at          time.Time
}

// unansweredInput is a start call that failed without an answer.
type unansweredInput struct {
	id          run.ID
	order       run.OrderID
	incarnation batch.Incarnation
	err         error
	sentAt      time.Time
	at          time.Time
}

// expiredInput is a start order that the worker has not answered before the lease in it ended.
type expiredInput struct {
	id    run.ID
	order run.OrderID
}

type stoppedInput struct {
	id          run.ID
	order       run.OrderID // zero if the agent stopped the run by itself
	incarnation batch.Incarnation
	at          time.Time
}

type listedInput struct {
	incarnation  batch.Incarnation
	list         run.List
	requestedAt  time.Time
	acknowledged int64 // the number that the call acknowledged
	err          error
}

type sessionInput struct{}

func (orderInput) input()      {}
func (startedInput) input()    {}
func (unansweredInput) input() {}
func (expiredInput) input()    {}
func (stoppedInput) input()    {}
func (listedInput) input()     {}
func (sessionInput) input()    {}

const (
	inputBuffer  = 256
	reportBuffer = 64
	// maxConcurrentCalls bounds the start calls to the worker at a time, and the stop calls. Each takes a connection.
	maxConcurrentCalls = 32
)

// New returns an agent that connects a worker to the leader under the given name; Run starts it.
func New(name string, w Worker, p *link.Pool, c *leader.Client, l hclog.Logger) *Runner {
	return &Runner{
		name: name, worker: w, pool: p, client: c, logger: l,
		announced: board.NewSection(workerState{}), outgoing: board.NewSection(outgoingState{}),
		speed:  board.NewSection(heldSpeed{}),
		inputs: make(chan input, inputBuffer), reports: make(chan run.Report, reportBuffer),
		starting: make(chan struct{}, maxConcurrentCalls), stopping: make(chan struct{}, maxConcurrentCalls),
	}
}

// Announce publishes an announcement of the worker unless a later one is known. It must not be called concurrently
// with itself or with MarkTerminating.
func (r *Runner) Announce(a run.Announcement) {
	old := r.announced.Load()
	if old.known && !a.After(old.announcement) {
		return
	}
	if !old.known || old.announcement.Incarnation() != a.Incarnation() || old.announcement.Draining() != a.Draining() {
		r.logger.Info("worker announced", "worker", a.Incarnation().ID(), "born", a.Incarnation().StartUnixMS(),
			"draining", a.Draining(), "rack", a.Rack())
	}
	// An announcement that was made before the notice of termination may be read after it, as may the notice of an earlier
	// incarnation with the same ID after the announcement of this one. A worker drains before it gives notice.
	terminating := old.terminating && old.announcement.Incarnation() == a.Incarnation() && a.Draining()
	r.announced.Publish(workerState{announcement: a, known: true, terminating: terminating})
}

// MarkTerminating records that the worker with the given id is terminating; it must not be called concurrently with
// itself or with Announce.
func (r *Runner) MarkTerminating(id string) {
	old := r.announced.Load()
	if old.known && old.announcement.Incarnation().ID() == id {
		old.terminating = true
		r.announced.Publish(old)
		r.logger.Info("worker leaves", "worker", id)
	}
}

// Run connects the worker to the leader until ctx ends.
func (r *Runner) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = fmt.Errorf("runner %s: %w", r.name, err)
		}
	}()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return newLoop(r).run(ctx) })
	g.Go(func() error { return r.runSessions(ctx) })
	return g.Wait()
}

// begin waits until a call may begin, and reports false if ctx ends first. The caller calls done after the call.
func begin(ctx context.Context, calls chan struct{}) (done func(), ok bool) {
	select {
	case calls <- struct{}{}:
		return func() { <-calls }, true
	case <-ctx.Done():
		return nil, false
	}
}

// enqueue passes an input to the loop, or drops it if ctx ends first.
func (r *Runner) enqueue(ctx context.Context, i input) {
	select {
	case r.inputs <- i:
	case <-ctx.Done():
	}
}
