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
	longPoll     = 10 * time.Second
	maxBodyBytes = 64 << 20
	// KeyHeader names the request that the stand-in counts.
	KeyHeader = "Idempotency-Key"
)

// Standin serves the endpoint and the platform's interface to one worker.
type Standin struct {
	name      string
	latency   time.Duration
	lag       time.Duration
	behaviour *board.Section[Behaviour]
	worker    *worker
	served    atomic.Int64
	runs      sync.Map // key of a request to *atomic.Int64
}

// Option sets a part of a Standin.
type Option func(*Standin)

// WithLatency sets how long each request runs.
func WithLatency(d time.Duration) Option { return func(s *Standin) { s.latency = d } }

// WithReportLag sets how old a usage report is.
func WithReportLag(d time.Duration) Option { return func(s *Standin) { s.lag = d } }

// New returns a stand-in of the named worker with the given number of accelerators.
func New(name string, accelerators int, opts ...Option) *Standin {
	s := &Standin{
		name: name, lag: 2 * time.Second, behaviour: board.NewSection(Behaviour{}), worker: newWorker(accelerators),
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

// Served returns the number of requests that the endpoint ran.
func (s *Standin) Served() int64 { return s.served.Load() }

// Runs returns how often the request with the given key ran.
func (s *Standin) Runs(key string) int64 {
	if n, ok := s.runs.Load(key); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// Checkpoints returns the number of running tasks that were checkpointed before they were stopped.
func (s *Standin) Checkpoints() int { return s.worker.published.Load().saved }

// Accelerators returns the number of accelerators that tasks hold.
func (s *Standin) Accelerators() (n int) {
	for _, r := range s.worker.published.Load().tasks {
		n += r.held()
	}
	return n
}

// Behave sets the fault in force.
func (s *Standin) Behave(b Behaviour) { s.behaviour.Publish(b) }

// ServeHTTP serves the endpoint, the worker's interface and the faults.
func (s *Standin) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	switch h.URL.Path {
	case "/standin/fault":
		s.fault(w, h)
		return
	case "/standin/runs":
		_, _ = fmt.Fprintln(w, s.Runs(h.URL.Query().Get("key")))
		return
	}
	if !s.thaw(h.Context()) {
		return
	}
	switch h.URL.Path {
	case "/health":
		if s.behaviour.Load().fault == Leave {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case "/tasks":
		s.list(w, h)
	case "/usage":
		s.usage(w)
	case "/tasks/reserve", "/tasks/start", "/tasks/renew", "/tasks/stop", "/tasks/checkpoint", "/tasks/throttle":
		s.order(w, h)
	default:
		s.echo(w, h)
	}
}

// thaw waits while the stand-in is frozen, and reports whether the caller is still there.
func (s *Standin) thaw(ctx context.Context) bool {
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

func (s *Standin) fault(w http.ResponseWriter, h *http.Request) {
	var f behaviourForm
	if err := json.NewDecoder(h.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Behave(NewBehaviour(f.Fault, time.Duration(f.DelayMS)*time.Millisecond))
}

// echo runs one request: it counts it, waits and sends the request back.
func (s *Standin) echo(w http.ResponseWriter, h *http.Request) {
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
	rest(h.Context(), wait)
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

// list answers as soon as the tasks' version differs from the one that the caller knows.
func (s *Standin) list(w http.ResponseWriter, h *http.Request) {
	since, _ := strconv.ParseUint(h.URL.Query().Get("since"), 10, 64)
	ctx, cancel := context.WithTimeout(h.Context(), longPoll)
	defer cancel()
	v, changed := s.worker.published.Watch()
	for v.version == since && ctx.Err() == nil {
		select {
		case <-changed:
		case <-ctx.Done():
		}
		v, changed = s.worker.published.Watch()
	}
	f := tasksForm{Version: v.version, Tasks: []taskForm{}}
	for _, r := range v.tasks {
		f.Tasks = append(f.Tasks, taskForm{
			Job: r.id.Job(), Index: r.id.Index(), Fence: uint64(r.fence), Accelerators: r.accelerators, State: r.state,
			Hub: r.watch.Hub(), Members: r.watch.Members(),
		})
	}
	_ = json.NewEncoder(w).Encode(f)
}

func (s *Standin) usage(w http.ResponseWriter) {
	f := usageForm{AgeMS: s.lag.Milliseconds(), Accelerators: s.Accelerators()}
	for _, r := range s.worker.published.Load().tasks {
		if !r.state.Final() {
			f.Running++
		}
	}
	_ = json.NewEncoder(w).Encode(f)
}

func (s *Standin) order(w http.ResponseWriter, h *http.Request) {
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

func rest(ctx context.Context, d time.Duration) {
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
