package dispatch

import (
	"maps"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/speed"
)

const (
	// neighbourInterval is the least time between two observations of the runs on a worker.
	neighbourInterval = time.Second
	// PairLearned is the kind of decision that records that one image is known to slow another one down.
	PairLearned = "images interfere"
	// PairForgotten is the kind of decision that records that this is no longer known.
	PairForgotten = "images interfere no more"
)

// imageRun is a listed run with an image.
type imageRun struct {
	running run.Running
	step    batch.Step
	service string
}

// observeNeighbours passes the images that share a worker, and the tail latencies of serving tasks, to the estimate of how
// much they slow each other down.
func (c *Core) observeNeighbours(now time.Time, s batch.State, a *Actions) {
	due := map[string]*host{}
	for name, h := range c.hosts {
		if h.connected && h.hasCurrentList(c.fencingToken) && h.listedAt.After(h.neighboursAt) &&
			now.Sub(h.neighboursAt) >= neighbourInterval {
			due[name] = h
		}
	}
	for _, h := range sortedHosts(due) {
		h.neighboursAt = now
		c.observeHost(now, h, imageRuns(h, s))
	}
	before := c.slowdowns
	c.slowdowns = c.interference.Slowdowns(now)
	for _, p := range c.slowdowns.Missing(before) {
		c.logDecision(nil, now, run.ID{}, PairLearned, p.String())
	}
	for _, p := range before.Missing(c.slowdowns) {
		c.logDecision(nil, now, run.ID{}, PairForgotten, p.String())
	}
	a.pairs = c.slowdowns.Count()
}

// imageRuns returns the listed runs of a host that have an image and are at work there. Best-effort runs at pace 0 disturb
// nobody and are left out.
func imageRuns(h *host, s batch.State) (list []imageRun) {
	for _, r := range h.list.Running() {
		j, known := s.Job(r.ID().Task().Job())
		if !known || r.ID().Task().Step() >= len(j.Spec().Steps()) || unplaced(s, r.ID(), h.list.Incarnation()) {
			continue
		}
		step := j.Spec().Steps()[r.ID().Task().Step()]
		if step.Image() == "" || step.BestEffort() && h.pace != nil && h.pace.percent == 0 {
			continue
		}
		list = append(list, imageRun{r, step, s.CurrentQueue(j).Service()})
	}
	return list
}

// observeHost passes on the runs of one host.
func (c *Core) observeHost(now time.Time, h *host, runs []imageRun) {
	counts := map[string]int{}
	for _, r := range runs {
		counts[r.step.Image()]++
	}
	images := slices.Sorted(maps.Keys(counts))
	for _, r := range runs {
		image := r.step.Image()
		n := speed.NewNeighbours(r.running.ID(), h.agent, r.service, image, counts[image], images)
		switch target := r.step.TailLatencyTarget(); {
		case target > 0 && r.running.Measurement() > 0:
			latency := time.Duration(r.running.Measurement()) * time.Millisecond
			c.interference.ObserveLatency(now, n, latency.Seconds()/target.Seconds())
		case target == 0 && !r.step.LongRunning():
			c.interference.ObserveTask(now, n)
		}
	}
}

// endNeighbours passes on the end of a run, before the model of speeds drops it.
func (c *Core) endNeighbours(now time.Time, id run.ID) {
	deviation, known := c.speeds.Deviation(now, id)
	c.interference.End(now, id, deviation, known)
}
