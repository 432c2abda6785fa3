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

// Runner is the agent beside one worker.
type Runner struct {
	name      string
	worker    Worker
	pool      *link.Pool
	client    *leader.Client
	logger    hclog.Logger
	announced *board.Section[announced]
	inputs    chan input
	reports   chan run.Report
}

// announced is the latest that the worker said of itself.
type announced struct {
	announcement run.Announcement
	known        bool
	gone         bool
}

// input is what the loop of a runner reacts to.
//
//sumtype:decl
type input interface{ input() }

type orderInput struct{ envelope run.Envelope }

type startedInput struct {
	id      run.ID
	life    batch.Incarnation
	refusal string
	at      time.Time
}

type stoppedInput struct {
	id   run.ID
	life batch.Incarnation
	at   time.Time
}

type listedInput struct {
	life  batch.Incarnation
	list  run.List
	asked time.Time
	err   error
}

type sessionInput struct{}

func (orderInput) input()   {}
func (startedInput) input() {}
func (stoppedInput) input() {}
func (listedInput) input()  {}
func (sessionInput) input() {}

const (
	inputBuffer  = 256
	reportBuffer = 64
)

// New returns the agent of the given name beside a worker.
func New(name string, w Worker, p *link.Pool, c *leader.Client, l hclog.Logger) *Runner {
	return &Runner{
		name: name, worker: w, pool: p, client: c, logger: l,
		announced: board.NewSection(announced{}),
		inputs:    make(chan input, inputBuffer), reports: make(chan run.Report, reportBuffer),
	}
}

// Announce takes what the worker says of itself, unless something later is known; one thread calls it at a time.
func (r *Runner) Announce(a run.Announcement) {
	old := r.announced.Load()
	if old.known && !a.After(old.announcement) {
		return
	}
	if !old.known || old.announcement.Incarnation() != a.Incarnation() || old.announcement.Draining() != a.Draining() {
		r.logger.Info("worker announced", "worker", a.Incarnation().ID(), "born", a.Incarnation().StartUnixMS(), "draining", a.Draining(), "rack", a.Rack())
	}
	r.announced.Publish(announced{announcement: a, known: true})
}

// Leave takes that the worker of the given id ends; the same thread calls it as Announce.
func (r *Runner) Leave(id string) {
	old := r.announced.Load()
	if old.known && old.announcement.Incarnation().ID() == id {
		old.gone = true
		r.announced.Publish(old)
		r.logger.Info("worker leaves", "worker", id)
	}
}

// Run serves until ctx ends.
func (r *Runner) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = fmt.Errorf("runner %s: %w", r.name, err)
		}
	}()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return newLoop(r).run(ctx) })
	g.Go(func() error { return r.keepSession(ctx) })
	return g.Wait()
}

func (r *Runner) tell(ctx context.Context, i input) {
	select {
	case r.inputs <- i:
	case <-ctx.Done():
	}
}
