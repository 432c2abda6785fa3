package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runSilentCrash hands in a job whose task crashes each worker that starts it; the worker is silent then, and back
// after some seconds.
func runSilentCrash(r *recorder, trouble bool) verdict {
	c := newCluster(r, mill, 3, 4)
	var starts, crashes atomic.Int64
	for _, w := range c.workers {
		w.startedAt = func(runEvent) { starts.Add(1) }
		w.deadly = func(string) bool {
			if trouble {
				crashes.Add(1)
			}
			return trouble
		}
	}
	c.start(config(1, 0))
	id := newJobID()
	if !c.submit(clientPrefix, id, `{"spec":"ms 1000","steps":[{"count":1,"cpu":1000,"memMb":256,"gpu":1,"estimateMs":1000}]}`) {
		return cannotRun
	}
	time.Sleep(75 * time.Second)
	r.add("client: GET %s%s -> %s", clientPrefix, id, c.call("GET", clientPrefix+id, ""))
	r.add("the task was started %d times, and %d workers crashed under it", starts.Load(), crashes.Load())
	if starts.Load() >= 6 {
		r.add("BUDGET: the task is started three more times after three workers have crashed under it")
		return broken
	}
	return held
}

// advisedRoute returns a configuration with a queue that requires advice.
func advisedRoute(version int) string {
	return strings.Replace(config(version, 1), `"pathPrefix":"/more00000/"`,
		`"pathPrefix":"/more00000/","advice":{"decisionMs":50,"periodMs":5,"validityMs":5000}`, 1)
}

// runAdvisedRestart hands in a job to a queue that requires advice, removes the queue, and restarts all control
// processes.
func runAdvisedRestart(r *recorder, trouble bool) verdict {
	c := newCluster(r, mill, 3, 3)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", func(rw http.ResponseWriter, q *http.Request) {
		var f struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		_ = json.NewDecoder(q.Body).Decode(&f)
		r.add("advice on %s for %d workers", f.Step, len(f.Workers))
		time.Sleep(50 * time.Millisecond)
		rows := [][]string{}
		for _, id := range f.Workers {
			rows = append(rows, []string{id, ticket(id)})
		}
		_ = json.NewEncoder(rw).Encode(map[string]any{"approved": rows, "validityMs": 5000})
	})
	l := listen(c.advice)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	var mu sync.Mutex
	started := map[string]bool{}
	for _, w := range c.workers {
		w.startedAt = func(e runEvent) {
			mu.Lock()
			defer mu.Unlock()
			started[e.task] = true
		}
	}
	c.start(advisedRoute(1))
	id := newJobID()
	body := `{"spec":"advised ms 25000","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":25000},` +
		`{"count":1,"cpu":1000,"memMb":256,"estimateMs":25000,"dependsOn":[0]}]}`
	if !c.submit("/more00000/", id, body) {
		return cannotRun
	}
	time.Sleep(2 * time.Second)
	r.add("operator: PUT /-/config without that route -> %s", c.operate("PUT", "/-/config", config(2, 0)))
	var g sync.WaitGroup
	var left atomic.Int64
	left.Store(ledgerEntries)
	for range 48 {
		g.Go(func() {
			for left.Add(-1) >= 0 {
				c.operate("GET", "/-/config", "")
			}
		})
	}
	g.Wait()
	time.Sleep(2 * time.Second)
	if trouble {
		c.killControls(killDown)
	}
	time.Sleep(60 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if !started[id+".0.1.0"] {
		r.add("LOST: the second step of the job has not begun")
		return broken
	}
	return held
}
