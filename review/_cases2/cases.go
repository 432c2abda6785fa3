package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	firstKey   = "d4a3hwrr6x73d3zji9n7"
	secondKey  = "3hh2b9wu3fexd9dnn2ct"
	thirdKey   = "k7hh2b9wu3fexd9d55aa"
	firstJob   = "5c0e7a21d94b36f8"
	secondJob  = "6d1f8b32ea5c47a9"
	pathPrefix = "/lohu930/"
)

var errNotReady = errors.New("the deployment does not come into service")

// between returns a duration from low to high that depends on the task's name.
func between(low, high time.Duration) func(string) time.Duration {
	return func(task string) time.Duration {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return low + time.Duration(uint64(h.Sum32())*uint64(high-low)>>32)
	}
}

// ready sends the first configuration and waits until a control host leads.
func (c *cluster) ready(config map[string]any) error {
	if err := c.configure(config); err != nil {
		return err
	}
	if !eventually(10*time.Second, func() bool { return c.leader() >= 0 }) {
		return errNotReady
	}
	time.Sleep(2 * time.Second) // the agents connect, and the workers list their runs
	return nil
}

// unlistedEnds: more ends than a worker returns at a time are listed while its agent's machine is frozen.
func unlistedEnds(c *cluster, trouble bool) (broken []string, err error) {
	const tasks = 900
	var workers []*worker
	for n := range siteWorkers {
		w := newWorker(c, n+1, []string{"a", rack(n)}, 8, between(4*time.Second, 8*time.Second))
		workers = append(workers, w)
	}
	if err = c.start(workers...); err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-1", pathPrefix, 1, 2)}
	if err = c.ready(configuration(1, routes, []map[string]any{tenant("t1", firstKey, 0)})); err != nil {
		return nil, err
	}
	job := map[string]any{"spec": "text", "steps": []map[string]any{{"count": tasks, "cpu": 100, "memMb": 128, "estimateMs": 6000}}}
	if err = c.submit(pathPrefix+firstJob, firstKey, job); err != nil {
		return nil, err
	}
	total := func() (sum int) {
		for _, w := range workers {
			sum += w.runs()
		}
		return sum
	}
	if !eventually(10*time.Second, func() bool { return total() == tasks }) {
		return nil, fmt.Errorf("%d of %d tasks run", total(), tasks)
	}
	for i, w := range workers {
		if w.runs() == 0 {
			continue
		}
		c.record.add("worker %s runs %d tasks", w.id, w.runs())
		if trouble && w.runs() > endsPerAnswer {
			eventually(10*time.Second, func() bool { return w.runs() < tasks-10 })
			c.record.add("machine %s freezes", w.machine.name)
			c.agents[i].signal(syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			c.agents[i].signal(syscall.SIGCONT)
			w.mu.Lock()
			c.record.add("machine %s wakes; %d ends are listed and %d acknowledged", w.machine.name, len(w.finished), w.acked)
			w.mu.Unlock()
		}
	}
	state := ""
	eventually(30*time.Second, func() bool { state = c.state(pathPrefix+firstJob, firstKey); return state == "completed" })
	time.Sleep(2 * time.Second)
	c.record.add("client: the job is %q", state)
	for _, w := range workers {
		w.mu.Lock()
		starts, ends := 0, map[string]int{}
		for _, e := range w.history {
			switch e.kind {
			case "start":
				starts++
			case "end":
				ends[e.how]++
			}
		}
		if starts > 0 {
			c.record.add("worker %s: %d starts, ends %v, acknowledged %d, most at a time not acknowledged %d", w.id, starts, ends, w.acked, w.waiting)
		}
		w.mu.Unlock()
	}
	broken = doubled(workers...)
	if len(broken) == 0 && state != "completed" {
		return nil, fmt.Errorf("the job is %q", state)
	}
	return broken, nil
}

// unheardLeave: a worker that drains gets no acknowledgement of its last notice, since its machine is frozen, and so ends
// some seconds later.
func unheardLeave(c *cluster, trouble bool) (broken []string, err error) {
	var workers []*worker
	for n := range siteWorkers {
		workers = append(workers, newWorker(c, n+1, []string{"a", rack(n)}, 8, between(20*time.Second, 20*time.Second+1)))
	}
	if err = c.start(workers...); err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-1", pathPrefix, 1, 2)}
	if err = c.ready(configuration(1, routes, []map[string]any{tenant("t1", firstKey, 0)})); err != nil {
		return nil, err
	}
	job := map[string]any{"spec": "text", "steps": []map[string]any{{"count": 1, "cpu": 52000, "memMb": 110000, "gpu": 1, "estimateMs": 20000}}}
	if err = c.submit(pathPrefix+firstJob, firstKey, job); err != nil {
		return nil, err
	}
	task, at := firstJob+".0.0.0", -1
	if !eventually(10*time.Second, func() bool {
		for i, w := range workers {
			if w.has(task) {
				at = i
			}
		}
		return at >= 0
	}) {
		return nil, errors.New("the task does not start")
	}
	w := workers[at]
	time.Sleep(2 * time.Second)
	c.record.add("worker %s is draining; acknowledged: %t", w.id, w.setState("draining"))
	time.Sleep(drainTime)
	// The freeze begins between two heartbeats, so that only the last notice meets it.
	for beats := w.beats(); w.beats() == beats; {
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		c.record.add("machine %s freezes", w.machine.name)
		c.agents[at].signal(syscall.SIGSTOP)
		time.AfterFunc(1700*time.Millisecond, func() {
			c.agents[at].signal(syscall.SIGCONT)
			c.record.add("machine %s wakes", w.machine.name)
		})
		time.Sleep(200 * time.Millisecond)
	}
	sentAt := time.Now()
	c.record.add("worker %s sends DELETE", w.id)
	acknowledged := w.leave()
	c.record.add("worker %s: its DELETE is acknowledged within a second: %t", w.id, acknowledged)
	if !acknowledged {
		time.Sleep(time.Until(sentAt.Add(5 * time.Second)))
	}
	c.record.add("worker %s ends", w.id)
	w.end()
	time.Sleep(4 * time.Second)
	c.record.add("client: the job is %q", c.state(pathPrefix+firstJob, firstKey))
	return doubled(workers...), nil
}

// lastingTask: a task that lasts fails while more than half of the accelerators are in use.
func lastingTask(c *cluster, trouble bool) (broken []string, err error) {
	const hosts, lasting, other = 4, 12, 8
	duration := func(task string) time.Duration {
		if strings.HasPrefix(task, firstJob) {
			return 0
		}
		return 90 * time.Second
	}
	var workers []*worker
	for n := range hosts {
		workers = append(workers, newWorker(c, n+1, []string{"a", "r1-1"}, 8, duration))
	}
	if err = c.start(workers...); err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-1", pathPrefix, 1, 2)}
	tenants := []map[string]any{tenant("t1", firstKey, 0), tenant("t2", secondKey, 16), tenant("t3", thirdKey, 8)}
	if err = c.ready(configuration(1, routes, tenants)); err != nil {
		return nil, err
	}
	total := func() (sum int) {
		for _, w := range workers {
			sum += w.runs()
		}
		return sum
	}
	job := map[string]any{"spec": "text", "steps": []map[string]any{{
		"count": lasting, "cpu": 1000, "memMb": 1024, "gpu": 1, "estimateMs": 1000, "longRunning": true,
	}}}
	if err = c.submit(pathPrefix+firstJob, firstKey, job); err != nil {
		return nil, err
	}
	if !eventually(15*time.Second, func() bool { return total() == lasting }) {
		return nil, fmt.Errorf("%d of %d lasting tasks run", total(), lasting)
	}
	job = map[string]any{"spec": "text", "steps": []map[string]any{{"count": other, "cpu": 1000, "memMb": 1024, "gpu": 1, "estimateMs": 90000}}}
	if err = c.submit(pathPrefix+secondJob, firstKey, job); err != nil {
		return nil, err
	}
	if !eventually(15*time.Second, func() bool { return total() == lasting+other }) {
		return nil, fmt.Errorf("%d of %d tasks run", total(), lasting+other)
	}
	c.record.add("%d accelerators of %d are in use", total(), 8*hosts)
	time.Sleep(5 * time.Second)
	task := firstJob + ".0.0.3"
	if trouble {
		for _, w := range workers {
			w.fail(task)
		}
	}
	failedAt, absentSince := time.Now(), time.Now()
	for time.Since(failedAt) < 16*time.Second {
		time.Sleep(50 * time.Millisecond)
		free := 8*hosts - total()
		here := false
		for _, w := range workers {
			here = here || w.has(task)
		}
		// The rule counts from 6 s after the task's last run, and only while there is capacity for it twice over.
		if here || free < 2 || time.Since(failedAt) < 6*time.Second {
			absentSince = time.Now()
		}
		if time.Since(absentSince) > 3*time.Second && broken == nil {
			broken = append(broken, fmt.Sprintf("LOST: %s has not run for %.1f s, and %d accelerators of %d are free", task,
				time.Since(failedAt).Seconds(), free, 8*hosts))
			c.record.add("client: the job is %q", c.state(pathPrefix+firstJob, firstKey))
		}
	}
	return broken, nil
}

// waveRefused: an operator's wave names a machine that the platform does not take down.
func waveRefused(c *cluster, trouble bool) (broken []string, err error) {
	var workers []*worker
	for n := range 4 {
		labels := []string{"a", "r1-1"}
		if n == 0 {
			labels[0] = "b"
		}
		w := newWorker(c, n+1, labels, 8, between(2*time.Second, 2*time.Second+1))
		w.named = fmt.Sprintf("m-%05x", n+1)
		workers = append(workers, w)
	}
	if err = c.start(workers...); err != nil {
		return nil, err
	}
	if err = c.serveMachines(); err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-1", pathPrefix, 1, 2)}
	if err = c.ready(configuration(1, routes, []map[string]any{tenant("t1", firstKey, 0)})); err != nil {
		return nil, err
	}
	if trouble {
		wave := map[string]any{"wave": 1, "machines": []string{workers[0].named}, "durationS": 10, "maxCount": 1}
		status, _ := exchange(newHTTP(time.Second), http.MethodPost, c.fronts[0].at(controlPort), "/-/wave-start", "", wave)
		c.record.add("operator: wave answered %d", status)
		time.Sleep(time.Second)
	}
	job := map[string]any{"spec": "text", "steps": []map[string]any{{
		"count": 1, "cpu": 1000, "memMb": 1024, "gpu": 1, "estimateMs": 2000, "requiredLabel": "b",
	}}}
	if err = c.submit(pathPrefix+firstJob, firstKey, job); err != nil {
		return nil, err
	}
	state := ""
	done := eventually(40*time.Second, func() bool { state = c.state(pathPrefix+firstJob, firstKey); return state == "completed" })
	c.record.add("client: the job is %q", state)
	if !done {
		broken = append(broken, fmt.Sprintf("LOST: the job is %s 40 s after its acceptance, and all workers are idle", state))
	}
	return broken, nil
}

// serveMachines serves the platform's machine calls: all machines of this deployment are side machines.
func (c *cluster) serveMachines() error {
	l, err := net.Listen("tcp", c.apiHost.at(adviceAndAPI))
	if err != nil {
		return err
	}
	count := 0
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if count++; count <= 3 {
			c.record.add("platform: %s, token %s, answered 409 busy", r.URL.Path, r.Header.Get("Fencing-Token"))
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"reason":"busy"}`))
	})}
	go func() { _ = server.Serve(l) }()
	return nil
}
