package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	serviceName = "desen"
	hostName    = "mill.example"
	maxHold     = 6 * time.Second
	maxEnds     = 500
)

// worker is a stand-in for a worker of the platform, one life at a time.
type worker struct {
	cluster   *cluster
	number    int
	ip        string
	cpu       int
	memory    int
	clockStep func() time.Duration // added to the time of day of its machine
	mu        sync.Mutex
	life      *life
}

// life is what a worker holds from its start to its end.
type life struct {
	worker    *worker
	id        string
	born      int64
	begun     time.Time
	sequence  int64
	fence     uint64
	lease     time.Duration // end of the lease on the worker's clock
	running   map[string]*task
	highest   map[string]int // the highest run that was stopped or ended here, by task
	ends      []end
	lastEnd   int64
	changed   chan struct{}
	draining  bool
	begunRuns int
	server    *http.Server
	done      chan struct{}
	closed    bool
	dark      bool // answers nothing any more
}

type task struct {
	name  string
	run   int
	begun time.Time
	timer *time.Timer
	total time.Duration
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

func newWorker(c *cluster, number int) *worker {
	return &worker{
		cluster: c, number: number, ip: c.sideIP(number), cpu: 128000, memory: 262144,
		clockStep: func() time.Duration { return 0 },
	}
}

// begin starts a new life of the worker.
func (w *worker) begin() error {
	l, err := net.Listen("tcp", net.JoinHostPort(w.ip, strconv.Itoa(w.cluster.ports.app)))
	if err != nil {
		return err
	}
	now := time.Now()
	life := &life{
		worker: w, id: fmt.Sprintf("i-%02d%06x", w.number, now.UnixMicro()&0xffffff), born: now.Add(w.clockStep()).UnixMilli(), begun: now,
		running: map[string]*task{}, highest: map[string]int{}, changed: make(chan struct{}), done: make(chan struct{}),
	}
	life.server = &http.Server{Handler: life}
	w.mu.Lock()
	w.life = life
	w.mu.Unlock()
	go func() { _ = life.server.Serve(l) }()
	go life.beat()
	go life.watchLease()
	w.cluster.record.add("worker begins", life.id, "born", fmt.Sprint(life.born))
	return nil
}

// end ends the worker at once, as a crash does.
func (w *worker) end() {
	w.mu.Lock()
	l := w.life
	w.mu.Unlock()
	if l == nil {
		return
	}
	l.lock()
	if l.closed {
		l.unlock()
		return
	}
	l.closed = true
	close(l.done)
	for _, t := range l.running {
		t.timer.Stop()
		w.cluster.countRun(t.name, -1)
		l.report("run dies with its worker", t.name, t.run)
	}
	l.unlock()
	_ = l.server.Close()
	w.cluster.record.add("worker ends", l.id)
}

func (l *life) lock()   { l.worker.mu.Lock() }
func (l *life) unlock() { l.worker.mu.Unlock() }

func (l *life) clock() time.Duration { return time.Since(l.begun) }

// beat sends the heartbeats.
func (l *life) beat() {
	for {
		l.lock()
		if l.dark {
			l.unlock()
			return
		}
		l.sequence++
		state := "ready"
		if l.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": net.JoinHostPort(l.worker.ip, strconv.Itoa(l.worker.cluster.ports.app)), "zone": "a",
			"version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0, "machine": fmt.Sprintf("m-%02d", l.worker.number),
			"capacity": map[string]int{"cpu": l.worker.cpu, "memMb": l.worker.memory, "gpu": 8},
			"labels":   []string{"a", fmt.Sprintf("r1-%d", l.worker.number/3)}, "clockMs": l.clock().Milliseconds(), "sequence": l.sequence, "born": l.born,
		})
		l.unlock()
		address := net.JoinHostPort(l.worker.ip, strconv.Itoa(l.worker.cluster.ports.control))
		status, _ := call("PUT", address, "", "/-/instances/"+l.id, "", string(body), time.Second)
		pause := 1500 * time.Millisecond
		if status != 200 {
			pause = 300 * time.Millisecond
		}
		select {
		case <-l.done:
			return
		case <-time.After(pause):
		}
	}
}

// watchLease ends everything once the lease has expired.
func (l *life) watchLease() {
	for {
		select {
		case <-l.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		l.lock()
		if l.clock() > l.lease {
			for _, t := range l.running {
				l.finish(t, "lapsed")
			}
		}
		l.unlock()
	}
}

func runKey(name string, run int) string { return fmt.Sprintf("%s/%d", name, run) }

// crowdPrefix begins the ids of jobs with so many tasks that only some of their runs are recorded.
const crowdPrefix = "f"

// report records an event of a run; of the jobs with very many tasks, that of one task in a thousand.
func (l *life) report(what, name string, run int) {
	if strings.HasPrefix(name, crowdPrefix) && !strings.HasSuffix(name, "000") {
		return
	}
	l.worker.cluster.record.add(what, name, fmt.Sprint(run), l.id, fmt.Sprintf("(%d begun here)", l.begunRuns))
}

// finish lists the end of a run.
func (l *life) finish(t *task, how string) {
	t.timer.Stop()
	delete(l.running, runKey(t.name, t.run))
	l.worker.cluster.countRun(t.name, -1)
	l.highest[t.name] = max(l.highest[t.name], t.run)
	l.lastEnd++
	l.ends = append(l.ends, end{l.lastEnd, t.name, t.run, how})
	l.report("run ends "+how, t.name, t.run)
	close(l.changed)
	l.changed = make(chan struct{})
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
}

// ServeHTTP serves the calls of the machine's agent.
func (l *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.lock()
	defer l.unlock()
	l.awaitEnd()
	if o.FencingToken < l.fence {
		l.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	l.fence = o.FencingToken
	switch r.URL.Path {
	case "/-/run-start":
		l.serveStart(w, o)
	case "/-/run-stop":
		if t := l.running[runKey(o.Task, o.Run)]; t != nil {
			l.finish(t, "stopped")
		}
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		l.answer(w, http.StatusOK, map[string]any{})
	case "/-/pace":
		l.answer(w, http.StatusOK, map[string]any{})
	case "/-/hold":
		l.serveHold(w, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// extend extends the lease to a reading of the worker's clock, never shortens it, and cuts it at maxHold.
func (l *life) extend(deadline int64) {
	until := min(time.Duration(deadline)*time.Millisecond, l.clock()+maxHold)
	l.lease = max(l.lease, until)
}

func (l *life) serveStart(w http.ResponseWriter, o order) {
	if l.running[runKey(o.Task, o.Run)] != nil {
		l.extend(o.DeadlineMs)
		l.answer(w, http.StatusOK, map[string]any{})
		return
	}
	if o.Run <= l.highest[o.Task] {
		l.extend(o.DeadlineMs)
		l.answer(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond <= l.clock() {
		l.answer(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	l.extend(o.DeadlineMs)
	l.crashSilently(o)
	l.awaitEnd()
	total := taskTime(o.Spec)
	t := &task{name: o.Task, run: o.Run, begun: time.Now(), total: total}
	key := runKey(o.Task, o.Run)
	l.running[key] = t
	l.worker.cluster.countRun(o.Task, 1)
	t.timer = time.AfterFunc(total, func() {
		l.lock()
		defer l.unlock()
		if l.running[key] == t && !l.closed {
			l.finish(t, "done")
		}
	})
	l.begunRuns++
	l.report("run begins", o.Task, t.run)
	l.answer(w, http.StatusOK, map[string]any{})
}

// taskTime returns the time that a task takes, from a spec such as "work 2000".
func taskTime(spec string) time.Duration {
	ms, err := strconv.Atoi(strings.TrimPrefix(spec, "work "))
	if err != nil {
		ms = 1000
	}
	return time.Duration(ms) * time.Millisecond
}

// serveHold renews the lease and answers with both lists, at the latest after the time to wait for an end.
func (l *life) serveHold(w http.ResponseWriter, o order) {
	if o.DeadlineMs > 0 {
		l.extend(o.DeadlineMs)
	}
	for len(l.ends) > 0 && l.ends[0].number <= o.AckCursor {
		l.ends = l.ends[1:]
	}
	if wait := min(o.WaitMs, 2000); wait > 0 {
		changed := l.changed
		l.unlock()
		select {
		case <-changed:
		case <-l.done:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		l.lock()
		l.awaitEnd()
	}
	running, finished := make([][]any, 0, len(l.running)), [][]any{}
	for _, t := range l.running {
		percent := min(100*time.Since(t.begun)/t.total, 100)
		running = append(running, []any{t.name, t.run, "", int(percent), 0})
	}
	for _, e := range l.ends[:min(len(l.ends), maxEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	l.answer(w, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

func (l *life) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = l.clock().Milliseconds(), l.born
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	data, _ := json.Marshal(body)
	_, _ = w.Write(data)
}
