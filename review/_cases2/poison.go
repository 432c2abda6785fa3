package main

import (
	"fmt"
	"sync"
	"time"
)

// jobsBefore is the number of ordinary jobs before the one that can never be done.
const jobsBefore = 20

// manyTimes: one scheduled job that can never be done, with many tasks and times, and after it an ordinary job of another
// tenant. The platform kills a process that uses more memory than its limit, and starts it again.
func manyTimes(c *cluster, trouble bool) (broken []string, err error) {
	var workers []*worker
	for n := range siteWorkers {
		workers = append(workers, newWorker(c, n+1, []string{"a", rack(n)}, 8, between(2*time.Second, 2*time.Second+1)))
	}
	if err = c.start(workers...); err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-1", pathPrefix, 1, 2), route("r-2", otherPrefix, 1, 2)}
	tenants := []map[string]any{tenant("t1", firstKey, 0), tenant("t2", secondKey, 0)}
	if err = c.ready(configuration(1, routes, tenants)); err != nil {
		return nil, err
	}
	ordinary := map[string]any{"spec": "text", "steps": []map[string]any{{"count": 1, "cpu": 1000, "memMb": 1024, "estimateMs": 2000}}}
	done := make(chan struct{})
	kills, watching := map[string]int{}, sync.WaitGroup{}
	watching.Go(func() { c.limitMemory(done, kills) })
	times, tasks := 300, 100_000
	if !trouble {
		times, tasks = 4, 50
	}
	// Jobs that can never be done have a share of 0.05 on this site.
	for n := range jobsBefore {
		if err = c.submit(fmt.Sprintf("%s%016x", otherPrefix, n+1), secondKey, ordinary); err != nil {
			return nil, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.record.add("client of t1: a job with %d tasks and %d times that no worker has the label for", tasks, times)
	poison := map[string]any{
		"spec": "text", "repeatCount": times, "startAtMs": time.Now().UnixMilli(), "intervalMs": 10,
		"steps": []map[string]any{{"count": tasks, "cpu": 10, "memMb": 16, "estimateMs": 2000, "requiredLabel": "z"}},
	}
	if err = c.submit(pathPrefix+firstJob, firstKey, poison); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	if err = c.submit(otherPrefix+secondJob, secondKey, ordinary); err != nil {
		return nil, err
	}
	task, accepted, begun := secondJob+".0.0.0", time.Now(), false
	for time.Since(accepted) < finishTime+2*idleJobTime && !begun {
		time.Sleep(20 * time.Millisecond)
		for _, w := range workers {
			begun = begun || w.has(task)
		}
	}
	if begun {
		time.Sleep(3 * time.Second)
	}
	close(done)
	watching.Wait()
	state := c.state(otherPrefix+secondJob, secondKey)
	c.record.add("client of t2: its job is %q; processes killed because of their memory: %v", state, kills)
	if !begun {
		broken = append(broken, fmt.Sprintf("LOST: the job of t2 has not begun %.1f s after its acceptance, on idle workers", time.Since(accepted).Seconds()))
	}
	often := 0
	for _, n := range kills {
		if n >= 3 {
			often++
		}
	}
	if 2*often >= controlHosts && often >= 2 {
		broken = append(broken, fmt.Sprintf("Fault: %d of %d control processes ended three times or more because of their memory", often, controlHosts))
	}
	return broken, nil
}

// limitMemory plays the platform's limit on the memory of a process until done is closed, and counts the kills.
func (c *cluster) limitMemory(done <-chan struct{}, kills map[string]int) {
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, p := range c.controls {
			mb := p.residentMB()
			if mb <= memoryLimitMB {
				continue
			}
			kills[p.name]++
			c.record.add("%s uses %d MB of %d and is killed by the platform", p.name, mb, memoryLimitMB)
			p.kill()
			time.AfterFunc(restartDelay, func() { _ = c.begin(p) })
		}
	}
}
