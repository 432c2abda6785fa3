package dispatch

import (
	"slices"
	"strconv"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

// WorkerCrashed is the kind of decision that records a run under which a worker crashed.
const WorkerCrashed = "worker crashed"

// observeCrashes takes in the crashes that an agent reports. Each is kept as long as the agent reports it, since it may
// be known before a run that it concerns is known to have ended, or after.
func (c *Core) observeCrashes(now time.Time, h *host, reported []run.Crash) {
	if len(reported) == 0 {
		return
	}
	for _, crash := range reported {
		if h.knowsCrash(crash.Worker()) {
			continue
		}
		for _, r := range crash.Runs() {
			c.decisions = append(c.decisions, Decision{
				id: r.ID(), kind: WorkerCrashed, worker: crash.Worker().ID(), reportAge: now.Sub(h.reportedAt),
				reason: strconv.FormatInt(r.Age().Milliseconds(), 10) + " ms after the start, under " + strconv.Itoa(len(crash.Runs())) + " runs",
			})
		}
		c.uncounted = append(c.uncounted, runCrashes(crash)...)
	}
	h.crashes = reported
}

// knowsCrash reports whether the agent has reported the crash of an incarnation before.
func (h *host) knowsCrash(worker batch.Incarnation) bool {
	return slices.ContainsFunc(h.crashes, func(c run.Crash) bool { return c.Worker() == worker })
}

// runCrashes returns the runs that may have caused a crash. If runs had started on the worker lately, these are the
// likely causes, and the others happened to be there.
func runCrashes(c run.Crash) (list []batch.RunCrash) {
	starting, jobs := false, map[string]bool{}
	for _, r := range c.Runs() {
		if r.Age() <= placement.StartupTime {
			starting, jobs[r.ID().Task().Job()] = true, true
		}
	}
	for _, r := range c.Runs() {
		phase := batch.CrashedLater
		switch {
		case r.Age() > placement.StartupTime && starting:
			continue
		case starting && len(jobs) == 1:
			phase = batch.CrashedAlone
		case starting:
			phase = batch.CrashedAmongOthers
		}
		list = append(list, batch.NewRunCrash(r.ID().Task(), r.ID().Run(), c.Worker().Host(), phase))
	}
	return list
}

// countCrashes adds the crashes to the commit that the state does not count yet, and forgets the others.
func (c *Core) countCrashes(s batch.State, a *Actions) {
	kept := c.uncounted[:0]
	for _, crash := range c.uncounted {
		if j, known := s.Job(crash.Task().Job()); known && j.CountsCrash(crash) {
			kept = append(kept, crash)
		}
	}
	clear(c.uncounted[len(kept):])
	c.uncounted = kept
	a.crashes = slices.Clone(kept)
}
