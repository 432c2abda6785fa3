package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// visibleTime is how old a job has to be before the count of its queue must show it (`visible_ms` and 2 s).
const visibleTime = 3*time.Second + 2*time.Second

// pendingCount: the machine of a worker is killed while a job is handed in that only this worker can run.
func pendingCount(c *cluster, trouble bool) (broken []string, err error) {
	var workers []*worker
	for n := range 3 {
		labels := []string{"a", "r1-1"}
		if n == 0 {
			labels[0] = "b"
		}
		workers = append(workers, newWorker(c, n+1, labels, 8, between(2*time.Second, 2*time.Second+1)))
	}
	if err = c.start(workers...); err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-1", pathPrefix, 1, 2)}
	if err = c.ready(configuration(1, routes, []map[string]any{tenant("t1", firstKey, 0)})); err != nil {
		return nil, err
	}
	if trouble {
		c.agents[0].signal(syscall.SIGKILL)
		c.record.add("machine %s is killed", workers[0].machine.name)
		time.AfterFunc(8*time.Second, func() {
			_ = c.begin(c.agents[0])
			c.record.add("machine %s is back", workers[0].machine.name)
		})
	}
	job := map[string]any{"spec": "text", "steps": []map[string]any{{
		"count": 1, "cpu": 1000, "memMb": 1024, "estimateMs": 2000, "requiredLabel": "b",
	}}}
	if err = c.submit(pathPrefix+firstJob, firstKey, job); err != nil {
		return nil, err
	}
	accepted, client := time.Now(), newHTTP(time.Second)
	for time.Since(accepted) < 20*time.Second {
		time.Sleep(250 * time.Millisecond)
		if len(workers[0].history) > 0 {
			break
		}
		for _, f := range c.fronts {
			asked := time.Now()
			status, answer := exchange(client, http.MethodGet, f.at(frontPort), pathPrefix, firstKey, nil)
			var count struct {
				Pending int `json:"pending"`
			}
			if status != http.StatusOK || json.Unmarshal([]byte(answer), &count) != nil {
				continue
			}
			if asked.Sub(accepted) > visibleTime && count.Pending == 0 {
				broken = append(broken, fmt.Sprintf("MIXED: %s counts no pending job %.1f s after the acceptance of one that has not begun",
					f.name, asked.Sub(accepted).Seconds()))
			}
		}
	}
	c.record.add("client: the job is %q", c.state(pathPrefix+firstJob, firstKey))
	return broken, nil
}
