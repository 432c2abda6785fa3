package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// runManyTasks hands in a job of more small tasks than the workers hold at once, and an ordinary job after it.
func runManyTasks(r *recorder, trouble bool) verdict {
	c := newCluster(r, mill, 3, 3)
	var mu sync.Mutex
	starts := map[string]int{}
	for _, w := range c.workers {
		w.startedAt = func(e runEvent) {
			mu.Lock()
			defer mu.Unlock()
			id, _, _ := strings.Cut(e.task, ".")
			starts[id]++
		}
	}
	c.start(config(1, 0))
	count := 600
	if trouble {
		count = 6000
	}
	large, other := newJobID(), newJobID()
	if !c.submit(clientPrefix, large, fmt.Sprintf(`{"spec":"ms 5000","steps":[{"count":%d,"cpu":100,"memMb":16,"estimateMs":5000}]}`, count)) {
		return cannotRun
	}
	time.Sleep(time.Second)
	if !c.submit(clientPrefix, other, `{"spec":"ms 1000","steps":[{"count":1,"cpu":1000,"memMb":256,"gpu":1,"estimateMs":1000}]}`) {
		return cannotRun
	}
	time.Sleep(60 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	r.add("after 60 s %d of %d small tasks have begun, and %d of 1 ordinary ones", starts[large], count, starts[other])
	if starts[large] == 0 || starts[other] == 0 {
		r.add("LOST: for 3 s and more a job has nothing running while its turn has come and the service is idle")
		return broken
	}
	return held
}
