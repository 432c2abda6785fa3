package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// refusedRounds is the number of times that a route is removed while the leader is killed.
	refusedRounds = 12
	// clientsAtOnce is the number of clients that hand in a job in each round: what a burst of 2.6 times the mill's 0.99
	// jobs a second brings in 4 s.
	clientsAtOnce = 10
	// clientGap is the time between the requests of two of these clients.
	clientGap = 250 * time.Microsecond
	// restartDelay is the time after which the platform starts a killed process again.
	restartDelay = time.Second
	otherPrefix  = "/pule252/"
)

// submission is one attempt of a client to hand a job in.
type submission struct {
	id     string
	status int
}

// lostReply: an operator removes a route while clients hand jobs in there, and the leader is killed before it has answered
// them. A client that hears 404 has no queue to hand its job in to, and does not try again.
func lostReply(c *cluster, trouble bool) (broken []string, err error) {
	var workers []*worker
	for n := range siteWorkers {
		w := newWorker(c, n+1, []string{"a", rack(n)}, 8, between(300*time.Millisecond, 500*time.Millisecond))
		w.quiet = true
		workers = append(workers, w)
	}
	if err = c.start(workers...); err != nil {
		return nil, err
	}
	kept, removed := route("r-1", pathPrefix, 1, 2), route("r-2", otherPrefix, 1, 2)
	tenants := []map[string]any{tenant("t1", firstKey, 0)}
	if err = c.ready(configuration(1, []map[string]any{kept, removed}, tenants)); err != nil {
		return nil, err
	}
	var all []submission
	version := 1
	for round := range refusedRounds {
		sent := c.removeBeside(round, trouble, configuration(version+1, []map[string]any{kept}, tenants))
		all = append(all, sent...)
		time.Sleep(1500 * time.Millisecond)
		version += 2
		if err = c.configure(configuration(version, []map[string]any{kept, removed}, tenants)); err != nil {
			return nil, err
		}
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	started := map[string]string{}
	for _, w := range workers {
		w.mu.Lock()
		for _, e := range w.history {
			if e.kind == "start" {
				started[strings.SplitN(e.task, ".", 2)[0]] = e.on
			}
		}
		w.mu.Unlock()
	}
	counts := map[int]int{}
	for _, s := range all {
		counts[s.status]++
		on, ran := started[s.id]
		c.record.add("client: POST %s%s answered %d; its task ran: %t %s", otherPrefix, s.id, s.status, ran, on)
		if rejected := s.status == http.StatusNotFound || s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests; rejected && ran {
			broken = append(broken, fmt.Sprintf("REFUSED: the only attempt to hand %s in was answered %d, and its task started on %s", s.id, s.status, on))
		}
	}
	c.record.add("answers by status: %v", counts)
	return broken, nil
}

// removeBeside sends one job of each client in quick succession, kills the leader as soon as the first is accepted, and
// sends the given configuration to another control host. It returns the first answers to the clients.
func (c *cluster) removeBeside(round int, trouble bool, config map[string]any) (sent []submission) {
	leader := c.leader()
	c.record.add("round %d: %d clients hand in a job each, and the operator removes a route", round, clientsAtOnce)
	sent = make([]submission, clientsAtOnce)
	var wg sync.WaitGroup
	accepted := make(chan struct{}, clientsAtOnce)
	for n := range clientsAtOnce {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * clientGap)
			id := fmt.Sprintf("%08x%08x", round+1, n+1)
			job := map[string]any{"spec": "text", "steps": []map[string]any{{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 400}}}
			status, _ := exchange(newHTTP(3*time.Second), http.MethodPost, c.fronts[n%len(c.fronts)].at(frontPort), otherPrefix+id, firstKey, job)
			sent[n] = submission{id, status}
			accepted <- struct{}{}
		})
	}
	<-accepted
	if trouble && leader >= 0 {
		c.controls[leader].signal(syscall.SIGKILL)
		c.record.add("control on %s, which leads, is killed", c.fronts[leader].name)
		wg.Go(func() {
			time.Sleep(restartDelay)
			<-c.controls[leader].done
			_ = c.begin(c.controls[leader])
		})
	}
	client := newHTTP(time.Second)
	for n := 1; n < 30; n++ {
		at := c.fronts[(leader+n+len(c.fronts))%len(c.fronts)]
		status, _ := exchange(client, http.MethodPut, at.at(controlPort), "/-/config", "", config)
		if status == http.StatusOK {
			c.record.add("operator: configuration %v acknowledged", config["version"])
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	return sent
}
