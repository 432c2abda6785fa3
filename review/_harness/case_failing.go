package main

import (
	"time"
)

// runFailingTasks hands in a job with tasks that last and fail by themselves after a second, and ordinary jobs beside
// it, and reports how long these and the failing tasks wait on idle workers.
func runFailingTasks(r *recorder, trouble bool) verdict {
	c := newCluster(r, mill, 3, 4)
	s := newRunning(c)
	c.start(config(1, 0))
	spec := "lasts"
	if trouble {
		spec = "fails ms 1000"
	}
	id := newJobID()
	if !c.submit(lastingPrefix, id, `{"spec":"`+spec+`","steps":[{"count":8,"cpu":1000,"memMb":256,"gpu":1,"estimateMs":1000,"longRunning":true,"image":"a"}]}`) {
		return cannotRun
	}
	var worst, idle time.Duration
	end := time.Now().Add(80 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		if s.count() == 0 {
			idle += 100 * time.Millisecond
		} else {
			idle = 0
		}
		worst = max(worst, idle)
	}
	r.add("nothing ran on four idle workers for up to %s", worst)
	if worst > 9*time.Second {
		r.add("LOST: a task that lasts does not run for 3 s, from 6 s after its last run on, with capacity for it")
		return broken
	}
	return held
}
