package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemarywind.example/rosemarywind/internal/board"
)

const (
	longPollTimeout = 10 * time.Second
	maxBodyBytes    = 64 << 20
	// KeyHeader holds the idempotency key by which the stand-in counts how often a request ran.
	KeyHeader = "Idempotency-Key"
)

// Standin serves an endpoint and the platform's interface to one worker over HTTP. Its methods are safe for concurrent
// use.
type Standin struct {
	name      string
	latency   time.Duration
	reportLag time.Duration
	behaviour *board.Section[Behaviour]
	worker    *worker
	served    atomic.Int64
	runs      sync.Map // idempotency key to *atomic.Int64
}

// Option configures a Standin.
type Option func(*Standin)

// WithLatency sets how long a request runs whose query has no parameter ms, 0 by default.
func WithLatency(d time.Duration) Option { return func(s *Standin) { s.latency = d } }

// WithReportLag sets the age that a usage report states, 2 s by default.
func WithReportLag(d time.Duration) Option { return func(s *Standin) { s.reportLag = d } }

// New returns a stand-in for the named worker with the given number of accelerators.
func New(name string, accelerators int, opts ...Option) *Standin {
	s := &Standin{
		name: name, reportLag: 2 * time.Second, behaviour: board.NewSection(Behaviour{}), worker: newWorker(accelerators),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Run serves HTTP on l until ctx ends.
func (s *Standin) Run(ctx context.Context, l net.Listener) (err error) {
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.worker.run(ctx) })
	g.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("stand-in: %w", err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return g.Wait()
}

// Served returns the number of requests that the endpoint ran, repeated ones included.
func (s *Standin) Served() int64 { return s.served.Load() }

// Runs returns how often the request with the given idempotency key ran.
func (s *Standin) Runs(key string) int64 {
	if n, ok := s.runs.Load(key); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// Checkpoints returns the number of running tasks that were stopped with a checkpoint.
func (s *Standin) Checkpoints() int { return s.worker.published.Load().checkpoints }

// HeldAccelerators returns the number of accelerators that tasks hold.
func (s *Standin) HeldAccelerators() (n int) {
	for _, r := range s.worker.published.Load().tasks {
		n += r.heldAccelerators()
	}
	return n
}

// SetBehaviour replaces the injected fault, for later requests and those that Freeze holds.
func (s *Standin) SetBehaviour(b Behaviour) { s.behaviour.Publish(b) }

// ServeHTTP serves the endpoint, the worker's interface and the paths under /standin that inject faults and count runs.
func (s *Standin) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	switch h.URL.Path {
	case "/standin/fault":
		s.handleFault(w, h)
		return
	case "/standin/runs":
		_, _ = fmt.Fprintln(w, s.Runs(h.URL.Query().Get("key")))
		return
	}
	if !s.waitWhileFrozen(h.Context()) {
		return
	}
	switch h.URL.Path {
	case "/health":
		if s.behaviour.Load().fault == Leave {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case "/tasks":
		s.handleTasks(w, h)
	case "/usage":
		s.handleUsage(w)
	case "/tasks/reserve", "/tasks/start", "/tasks/renew", "/tasks/stop", "/tasks/checkpoint", "/tasks/throttle":
		s.handleOrder(w, h)
	default:
		s.handleRequest(w, h)
	}
}

// waitWhileFrozen waits until the fault is not Freeze, and reports whether it was lifted before ctx ended.
func (s *Standin) waitWhileFrozen(ctx context.Context) bool {
	for {
		b, changed := s.behaviour.Watch()
		if b.fault != Freeze {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Standin) handleFault(w http.ResponseWriter, h *http.Request) {
	var f behaviourForm
	if err := json.NewDecoder(h.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetBehaviour(NewBehaviour(f.Fault, time.Duration(f.DelayMS)*time.Millisecond))
}

// handleRequest runs one request to the endpoint: it counts the request, waits and answers with its content.
func (s *Standin) handleRequest(w http.ResponseWriter, h *http.Request) {
	body, err := io.ReadAll(io.LimitReader(h.Body, maxBodyBytes))
	if err != nil {
		return
	}
	s.served.Add(1)
	if key := h.Header.Get(KeyHeader); key != "" {
		n, _ := s.runs.LoadOrStore(key, &atomic.Int64{})
		n.(*atomic.Int64).Add(1)
	}
	b := s.behaviour.Load()
	wait := s.latency
	if ms, err := strconv.Atoi(h.URL.Query().Get("ms")); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	if b.fault == Late {
		wait += b.delay
	}
	sleep(h.Context(), wait)
	answer, _ := json.Marshal(echoForm{
		Worker: s.name, Method: h.Method, Target: h.URL.RequestURI(), Body: string(body),
	})
	switch b.fault {
	case Fail:
		http.Error(w, "the stand-in was told to fail", http.StatusInternalServerError)
		return
	case Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	case NoFault, Freeze, Late, Leave:
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

// handleTasks answers once the version of the tasks differs from the caller's, or after longPollTimeout.
func (s *Standin) handleTasks(w http.ResponseWriter, h *http.Request) {
	since, _ := strconv.ParseUint(h.URL.Query().Get("since"), 10, 64)
	ctx, cancel := context.WithTimeout(h.Context(), longPollTimeout)
	defer cancel()
	latest, changed := s.worker.published.Watch()
	for latest.version == since && ctx.Err() == nil {
		select {
		case <-changed:
		case <-ctx.Done():
		}
		latest, changed = s.worker.published.Watch()
	}
	f := tasksForm{Version: latest.version, Tasks: []taskForm{}}
	for _, r := range latest.tasks {
		f.Tasks = append(f.Tasks, taskForm{
			Job: r.id.Job(), Index: r.id.Index(), FencingToken: uint64(r.fencingToken), Accelerators: r.accelerators, State: r.state,
			Hub: r.watch.Hub(), Members: r.watch.Members(),
		})
	}
	_ = json.NewEncoder(w).Encode(f)
}

func (s *Standin) handleUsage(w http.ResponseWriter) {
	f := usageForm{AgeMS: s.reportLag.Milliseconds(), Accelerators: s.HeldAccelerators()}
	for _, r := range s.worker.published.Load().tasks {
		if !r.state.Final() {
			f.Running++
		}
	}
	_ = json.NewEncoder(w).Encode(f)
}

func (s *Standin) handleOrder(w http.ResponseWriter, h *http.Request) {
	var f taskForm
	if err := json.NewDecoder(h.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o, err := f.order(h.URL.Path[len("/tasks/"):])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := call{order: o, reply: make(chan string, 1)}
	select {
	case s.worker.calls <- c:
	case <-h.Context().Done():
		return
	}
	if refusal := <-c.reply; refusal != "" {
		http.Error(w, refusal, http.StatusConflict)
	}
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
