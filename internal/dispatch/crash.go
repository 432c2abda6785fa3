package dispatch

import (
	"slices"
	"strconv"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// WorkerCrashed is the kind of decision that records a run under which a worker crashed.
const WorkerCrashed = "worker crashed"

// observeCrashes takes in the crashes that an agent reports. It keeps each one as long as the agent reports it, since
// the runs may be in the state longer than the crashed worker is known.
func (c *Core) observeCrashes(now time.Time, h *host, reported []run.Crash) {
	if len(reported) == 0 {
		return
	}
	for _, crash := range reported {
		if h.knowsCrash(crash.Worker()) {
			continue
		}
		for _, r := range crash.Runs() {
			c.logDecision(h, now, r.ID(), WorkerCrashed,
				strconv.FormatInt(r.Age().Milliseconds(), 10)+" ms after the start, under "+strconv.Itoa(len(crash.Runs()))+" runs")
		}
	}
	h.crashes = reported
}

// knowsCrash reports whether the agent has reported the crash of an incarnation before.
func (h *host) knowsCrash(worker batch.Incarnation) bool {
	return slices.ContainsFunc(h.crashes, func(c run.Crash) bool { return c.Worker() == worker })
}
