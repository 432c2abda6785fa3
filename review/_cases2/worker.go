package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// stopDelay is how long a stop takes, which is less than stopTimeout.
const stopDelay = stopTimeout * 3 / 8

// endsPerAnswer is the number of ends that a worker returns at a time (protocol: "500 at a time").
const endsPerAnswer = 500

// worker is a stand-in for a worker of the platform. It follows the section "Running tasks" of the protocol page: it
// accepts calls from its own machine, runs what it is told to start under a lease on its steady clock, numbers the ends
// and returns them until they are acknowledged, and announces itself to its agent.
type worker struct {
	machine  machine
	id       string
	labels   []string
	capacity map[string]int
	duration func(task string) time.Duration // of a run; 0 for a task that lasts
	named    string                          // the name of the platform's machine, empty for none
	record   *record
	born     time.Time

	mu       sync.Mutex
	up       bool
	state    string
	sequence int
	token    uint64
	lease    int64
	running  map[string]*activeRun
	finished []end
	lapsedAt int64 // the end of the lease, on the worker's clock, whose lapse was noted last
	acked    int
	highest  map[string]int
	changed  chan struct{}
	server   *http.Server

	history []event // all starts and ends, in order
	quiet   bool    // record no line for each start and end
	beaten  int     // acknowledged heartbeats
	waiting int     // the most ends that waited for their acknowledgement
}

type activeRun struct {
	run   int
	begun time.Time
	ends  time.Time // zero for a task that lasts

	stopping bool
}

type end struct {
	number int
	task   string
	run    int
	how    string
}

// event is a start, an end or the acknowledgement of an end.
type event struct {
	at   time.Time
	kind string // start, end, noted (the end is acknowledged) or lapse (of the worker's lease)
	task string
	run  int
	how  string
	on   string // id of the worker
}

func newWorker(c *cluster, n int, labels []string, gpu int, duration func(string) time.Duration) *worker {
	return &worker{
		machine: c.side(n), id: fmt.Sprintf("i-%08x", 0x1000*c.block+n), labels: labels, duration: duration, record: c.record,
		capacity: map[string]int{"cpu": 128000, "memMb": 262144, "gpu": gpu}, born: time.Now(), up: true, state: "ready",
		running: map[string]*activeRun{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
}

// clock returns the worker's steady clock, which begins with its life.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

func (w *worker) serve() error {
	l, err := net.Listen("tcp", w.machine.at(appPort))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.guard(w.runStart))
	mux.HandleFunc("POST /-/run-stop", w.guard(w.runStop))
	mux.HandleFunc("POST /-/hold", w.guard(w.hold))
	mux.HandleFunc("POST /-/pace", w.guard(w.pace))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.work()
	return nil
}

// guard answers 421 to calls for another life of the worker.
func (w *worker) guard(next func(http.ResponseWriter, callForm, *http.Request)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var f callForm
		if json.NewDecoder(r.Body).Decode(&f) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next(rw, f, r)
	}
}

type callForm struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    int    `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

// extend takes a lease over; it never shortens, and is at most maxHold long. The caller holds mu.
func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) runStart(rw http.ResponseWriter, f callForm, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.running[f.Task]
	switch {
	case !w.up:
		panic(http.ErrAbortHandler)
	case f.FencingToken < w.token:
		w.conflict(rw, "fence")
	case known != nil && known.run == f.Run:
		w.token = f.FencingToken
		w.extend(f.DeadlineMs)
		w.answer(rw, nil)
	case known != nil || f.Run <= w.highest[f.Task]:
		w.token = f.FencingToken
		w.extend(f.DeadlineMs)
		w.conflict(rw, "old")
	case f.DeadlineMs <= w.clock():
		w.conflict(rw, "late")
	default:
		w.token = f.FencingToken
		w.extend(f.DeadlineMs)
		a := &activeRun{run: f.Run, begun: time.Now()}
		if d := w.duration(f.Task); d > 0 {
			a.ends = a.begun.Add(d)
		}
		w.running[f.Task] = a
		w.note("start", f.Task, f.Run, "")
		w.answer(rw, nil)
	}
}

func (w *worker) runStop(rw http.ResponseWriter, f callForm, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.up:
		panic(http.ErrAbortHandler)
	case f.FencingToken < w.token:
		w.conflict(rw, "fence")
		return
	}
	w.token = f.FencingToken
	w.highest[f.Task] = max(w.highest[f.Task], f.Run)
	if known := w.running[f.Task]; known != nil && known.run == f.Run && !known.stopping {
		known.stopping = true
		w.note("told to stop", f.Task, f.Run, "")
		time.AfterFunc(stopDelay, func() { w.endStopped(f.Task, f.Run) })
	}
	w.answer(rw, nil)
}

// endStopped ends a run that was told to stop, unless it has ended meanwhile.
func (w *worker) endStopped(task string, run int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.running[task]; w.up && known != nil && known.run == run {
		w.finish(task, "stopped")
	}
}

func (w *worker) pace(rw http.ResponseWriter, _ callForm, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer(rw, nil)
}

func (w *worker) hold(rw http.ResponseWriter, f callForm, r *http.Request) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if f.FencingToken < w.token {
		defer w.mu.Unlock()
		w.conflict(rw, "fence")
		return
	}
	w.token = f.FencingToken
	if f.DeadlineMs > 0 {
		w.extend(f.DeadlineMs)
	}
	for _, e := range w.finished {
		if e.number > w.acked && e.number <= f.AckCursor {
			w.note("noted", e.task, e.run, e.how)
		}
	}
	w.acked = max(w.acked, min(f.AckCursor, len(w.finished)))
	changed, unseen := w.changed, len(w.finished) > w.acked
	w.mu.Unlock()
	if f.WaitMs > 0 && !unseen {
		select {
		case <-changed:
		case <-time.After(time.Duration(f.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for task, a := range w.running {
		running = append(running, []any{task, a.run, "", a.percent(), 0})
	}
	for _, e := range w.finished[w.acked:min(len(w.finished), w.acked+endsPerAnswer)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.answer(rw, map[string]any{"running": running, "finished": finished, "born": w.born.UnixMilli()})
}

// startup is the time after which a task that lasts is at work.
const startup = 300 * time.Millisecond

func (a *activeRun) percent() int {
	if a.ends.IsZero() {
		if time.Since(a.begun) >= startup {
			return 100
		}
		return 0
	}
	share := float64(time.Since(a.begun)) / float64(a.ends.Sub(a.begun))
	return int(100 * min(max(share, 0), 0.99))
}

func (w *worker) answer(rw http.ResponseWriter, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clockMs"] = w.clock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) conflict(rw http.ResponseWriter, reason string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(rw).Encode(map[string]any{"clockMs": w.clock(), "reason": reason})
}

// finish ends a run and lists the end; the caller holds mu.
func (w *worker) finish(task, how string) {
	a := w.running[task]
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], a.run)
	w.finished = append(w.finished, end{len(w.finished) + 1, task, a.run, how})
	w.waiting = max(w.waiting, len(w.finished)-w.acked)
	w.note("end", task, a.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// note adds an event to the history; the caller holds mu.
func (w *worker) note(kind, task string, run int, how string) {
	w.history = append(w.history, event{time.Now(), kind, task, run, how, w.id})
	if !w.quiet && kind != "noted" && kind != "lapse" {
		w.record.add("worker %s: %s %s run %d %s", w.id, kind, task, run, how)
	}
}

// work ends runs that are done or whose lease has ended, until the worker is down.
func (w *worker) work() {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if !w.up {
			w.mu.Unlock()
			return
		}
		lapsed := w.clock() > w.lease
		if lapsed && w.lapsedAt != w.lease {
			w.lapsedAt = w.lease
			w.note("lapse", "", 0, "")
		}
		var ending []string
		for task, a := range w.running {
			if lapsed || !a.ends.IsZero() && !time.Now().Before(a.ends) {
				ending = append(ending, task)
			}
		}
		sort.Strings(ending)
		for _, task := range ending {
			if a := w.running[task]; !a.ends.IsZero() && !time.Now().Before(a.ends) {
				w.finish(task, "done")
			} else {
				w.finish(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// fail ends a run through its own fault; it reports whether the task ran here.
func (w *worker) fail(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[task] == nil {
		return false
	}
	w.finish(task, "failed")
	return true
}

// beat announces the worker about every heartbeat interval, sooner while it is not acknowledged.
func (w *worker) beat() {
	for {
		w.mu.Lock()
		up, leaving := w.up, w.state == "left"
		w.mu.Unlock()
		if !up || leaving {
			return
		}
		if w.announce() {
			time.Sleep(heartbeat)
		} else {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// announce sends one heartbeat and reports whether it was acknowledged within a second.
func (w *worker) announce() bool {
	w.mu.Lock()
	w.sequence++
	f := map[string]any{
		"service": service, "address": w.machine.at(appPort), "zone": w.machine.zone, "version": "v1", "slots": 8, "state": w.state,
		"coldRemainingMs": 0, "capacity": w.capacity, "labels": w.labels, "clockMs": w.clock(), "sequence": w.sequence,
		"born": w.born.UnixMilli(),
	}
	if w.state == "draining" {
		f["remainingMs"] = drainTime.Milliseconds()
	}
	if w.named != "" {
		f["machine"] = w.named
	}
	w.mu.Unlock()
	data, _ := json.Marshal(f)
	r, err := http.NewRequest(http.MethodPut, "http://"+w.machine.at(controlPort)+"/-/instances/"+w.id, bytes.NewReader(data))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := newHTTP(time.Second).Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beaten++
	return a.StatusCode/100 == 2
}

// beats returns the number of acknowledged heartbeats.
func (w *worker) beats() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.beaten
}

// setState changes the state in the announcements and announces it at once.
func (w *worker) setState(state string) (acknowledged bool) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	return w.announce()
}

// leave sends the notice that the worker leaves, and reports whether it was acknowledged within a second.
func (w *worker) leave() (acknowledged bool) {
	w.mu.Lock()
	w.state = "left"
	w.mu.Unlock()
	r, err := http.NewRequest(http.MethodDelete, "http://"+w.machine.at(controlPort)+"/-/instances/"+w.id, nil)
	if err != nil {
		return false
	}
	a, err := newHTTP(time.Second).Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode/100 == 2
}

// end ends the worker with everything that runs on it.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	for task, a := range w.running {
		w.note("end", task, a.run, "gone with its worker")
	}
	w.running = map[string]*activeRun{}
	go func() { _ = w.server.Close() }()
}

// runs returns the number of runs on the worker now.
func (w *worker) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// has reports whether a task runs on the worker now.
func (w *worker) has(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[task] != nil
}

// doubled returns the breaks of the rule TWICE in the histories of the workers: two runs of a task at the same time, or a
// start after a run that ended done and whose end was taken note of. An end whose worker's lease lapsed before it was
// acknowledged does not count.
func doubled(workers ...*worker) (broken []string) {
	var all []event
	for _, w := range workers {
		w.mu.Lock()
		all = append(all, w.history...)
		w.mu.Unlock()
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	type key struct {
		task string
		run  int
	}
	noted, endedAt, lapsedAt := map[key]bool{}, map[key]time.Time{}, map[string]time.Time{}
	for _, e := range all {
		k := key{e.task, e.run}
		switch {
		case e.kind == "lapse":
			lapsedAt[e.on] = e.at
		case e.kind == "end":
			endedAt[k] = e.at
		case e.kind == "noted" && e.how == "done":
			noted[k] = !lapsedAt[e.on].After(endedAt[k])
		}
	}
	active, done := map[string][]event{}, map[string]int{}
	for _, e := range all {
		switch e.kind {
		case "start":
			for _, other := range active[e.task] {
				broken = append(broken, fmt.Sprintf("TWICE: %s run %d starts on %s while run %d is on %s", e.task, e.run, e.on, other.run, other.on))
			}
			if run, ended := done[e.task]; ended && noted[key{e.task, run}] {
				broken = append(broken, fmt.Sprintf("TWICE: %s run %d starts on %s after run %d has ended done", e.task, e.run, e.on, run))
			}
			active[e.task] = append(active[e.task], e)
		case "end":
			var kept []event
			for _, a := range active[e.task] {
				if a.run != e.run || a.on != e.on {
					kept = append(kept, a)
				}
			}
			active[e.task] = kept
			if e.how == "done" {
				done[e.task] = e.run
			}
		}
	}
	return broken
}
