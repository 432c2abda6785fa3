package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// darkTime is how long a worker is silent before it is back.
	darkTime = 3500 * time.Millisecond
	// A task may be started three times until three workers have crashed, and fewer than three times more after that.
	maxDeadlyStarts = 5
)

func init() {
	configurations["15"] = configuration(7, route("r-dye", "/dye/", 1, false)+","+route("r-scan", "/scan/", 2, false), tenants)
	workersOf["15"] = 7
	cases["15"] = playSilentCrashes
}

// playSilentCrashes hands in a job whose only task makes each worker that starts it silent before it has answered.
func playSilentCrashes(c *cluster, trouble bool) error {
	const id = "d000000000000001"
	if trouble {
		c.mu.Lock()
		c.deadlyJob = id
		c.mu.Unlock()
	}
	if !c.submit("/dye/"+id, keyA, job("work 2000", `{"count":1,"cpu":1000,"memMb":100,"estimateMs":2000}`)) {
		return fmt.Errorf("%w: the job is not accepted", errCannotRun)
	}
	state := ""
	for begun := time.Now(); time.Since(begun) < 90*time.Second; {
		time.Sleep(3 * time.Second)
		if _, state = c.request(0, "GET", "/dye/"+id, keyA, ""); state == `{"state":"completed"}` || state == `{"state":"failed"}` {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadlyStarts > maxDeadlyStarts {
		return fmt.Errorf("%w: BUDGET: the task was started %d times and has crashed a worker each time; its job is %s",
			errBroken, c.deadlyStarts, state)
	}
	return nil
}

// crashSilently makes the worker dark if the order starts the deadly job's task. The caller holds the lock of the worker.
func (l *life) crashSilently(o order) {
	c := l.worker.cluster
	c.mu.Lock()
	deadly := c.deadlyJob != "" && strings.HasPrefix(o.Task, c.deadlyJob)
	if deadly {
		c.deadlyStarts++
	}
	c.mu.Unlock()
	if !deadly {
		return
	}
	c.record.add("run begins and makes its worker silent", o.Task, fmt.Sprint(o.Run), l.id)
	l.dark = true
	worker := l.worker
	time.AfterFunc(darkTime, func() {
		worker.end()
		_ = worker.begin()
	})
}

// awaitEnd keeps a request to a dark worker without an answer. The caller holds the lock of the worker.
func (l *life) awaitEnd() {
	for l.dark && !l.closed {
		l.unlock()
		<-l.done
		l.lock()
	}
	if l.closed {
		panic(http.ErrAbortHandler)
	}
}
