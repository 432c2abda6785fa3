package main

import (
	"fmt"
	"time"
)

const (
	// finishTime is how long after the end of the traffic jobs are asked for (`finish_s`).
	finishTime = 14 * time.Second
	// fullestFirst is the worker that gets work without preferences first: the last rack has the fewest workers.
	fullestFirst = siteWorkers - 2
	// idleJobTime is how long a job may have nothing running then while its turn has come.
	idleJobTime = 3 * time.Second
)

// manyStarts: a job of many small tasks, all of which fit on one worker, and after it an ordinary job of another
// tenant that needs a worker of that kind.
func manyStarts(c *cluster, trouble bool) (broken []string, err error) {
	var workers []*worker
	for n := range siteWorkers {
		labels := []string{"a", rack(n)}
		if n == fullestFirst {
			labels[0] = "b"
		}
		w := newWorker(c, n+1, labels, 8, between(4*time.Second, 8*time.Second))
		w.quiet = !trouble // of 500 runs each start and end would be a line
		workers = append(workers, w)
	}
	if err = c.start(workers...); err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-1", pathPrefix, 1, 2), route("r-2", otherPrefix, 1, 2)}
	tenants := []map[string]any{tenant("t1", firstKey, 0), tenant("t2", secondKey, 0)}
	if err = c.ready(configuration(1, routes, tenants)); err != nil {
		return nil, err
	}
	tasks := 2000
	if !trouble {
		tasks = 500
	}
	c.record.add("client of t1: a job of %d tasks", tasks)
	large := map[string]any{"spec": "text", "steps": []map[string]any{{"count": tasks, "cpu": 10, "memMb": 16, "estimateMs": 6000}}}
	if err = c.submit(pathPrefix+firstJob, firstKey, large); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	ordinary := map[string]any{"spec": "text", "steps": []map[string]any{{"count": 1, "cpu": 1000, "memMb": 1024, "estimateMs": 2000, "requiredLabel": "b"}}}
	if err = c.submit(otherPrefix+secondJob, secondKey, ordinary); err != nil {
		return nil, err
	}
	task, endOfTraffic := secondJob+".0.0.0", time.Now()
	nothingSince := endOfTraffic
	for time.Since(endOfTraffic) < finishTime+2*idleJobTime {
		time.Sleep(20 * time.Millisecond)
		for _, w := range workers {
			if w.has(task) {
				nothingSince = time.Now()
			}
		}
	}
	for i, w := range workers {
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
		c.record.add("worker %s: %d starts, ends %v; %d run now; its agent had %d sessions with a leader", w.id, starts, ends,
			len(w.running), c.agents[i].logged("leader found"))
		w.mu.Unlock()
	}
	first, second := c.state(pathPrefix+firstJob, firstKey), c.state(otherPrefix+secondJob, secondKey)
	c.record.add("client of t1: its job is %q; client of t2: its job is %q", first, second)
	if second != "completed" && time.Since(nothingSince) > finishTime+idleJobTime {
		broken = append(broken, fmt.Sprintf("LOST: the job of t2 is %q and has had nothing running for %.1f s, while under a tenth of the service is in use",
			second, time.Since(nothingSince).Seconds()))
	}
	if first == "completed" && second != "completed" || first != "completed" && !trouble {
		return broken, fmt.Errorf("the jobs are %q and %q", first, second)
	}
	return broken, nil
}
