package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

// WorkerUse says whether a worker gets new runs, and why not.
type WorkerUse string

// The uses of a worker, in the order in which they are looked for.
const (
	Disconnected WorkerUse = "agent not connected"
	Unannounced  WorkerUse = "not announced"
	Unreachable  WorkerUse = "not reached by its agent"
	Leaving      WorkerUse = "draining or leaving"
	Silent       WorkerUse = "silent"
	RunsUnknown  WorkerUse = "runs not listed yet"
	ClockUnknown WorkerUse = "clock not known"
	Evacuated    WorkerUse = "evacuated"
	Maintained   WorkerUse = "drained for maintenance"
	Stalled      WorkerUse = "with a stalled run"
	Quarantined  WorkerUse = "in quarantine"
	Usable       WorkerUse = "usable"
)

// WorkerUses returns all uses of a worker.
func WorkerUses() []WorkerUse {
	return []WorkerUse{
		Disconnected, Unannounced, Unreachable, Leaving, Silent, RunsUnknown, ClockUnknown, Evacuated, Maintained, Stalled,
		Quarantined, Usable,
	}
}

const (
	// LongWait is the kind of decision that records why a step has waited for longWait.
	LongWait = "waits long"
	// longWait is how long tasks wait before it is logged which workers they cannot use and why.
	longWait = 2 * time.Second
	// longWaitInterval is the interval at which the line is repeated for a step that still waits.
	longWaitInterval = 5 * time.Second
	// explainInterval is the least time between two explanations, which cost a pass over all workers for each step.
	explainInterval = time.Second
	// maxExplanations bounds the steps whose waits are explained at once.
	maxExplanations = 16
)

// Waiting counts the waiting tasks and the workers by use.
type Waiting struct {
	tasks     int
	longSteps int
	workers   map[WorkerUse]int
}

// Tasks returns the number of tasks that are ready and wait for workers.
func (w Waiting) Tasks() int { return w.tasks }

// LongSteps returns the number of steps with tasks that have waited for some seconds.
func (w Waiting) LongSteps() int { return w.longSteps }

// Workers returns the number of known workers by use; it is nil if no task waits.
func (w Waiting) Workers() map[WorkerUse]int { return w.workers }

func newWaiting(now time.Time, p placement.Plan, uses map[string]WorkerUse) *Waiting {
	w := &Waiting{workers: map[WorkerUse]int{}}
	for _, e := range p.Waits() {
		w.tasks += e.Tasks()
		if now.Sub(e.Since()) >= longWait {
			w.longSteps++
		}
	}
	for _, u := range uses {
		w.workers[u]++
	}
	return w
}

// workerUse returns whether a worker gets new runs. stalled holds the hosts with a stalled run.
func (c *Core) workerUse(now time.Time, h *host, stalled map[string]bool) WorkerUse {
	use := h.use(now, c.fencingToken)
	switch {
	case use != Usable:
	case c.evacuated(h):
		return Evacuated
	case c.isDraining(h):
		return Maintained
	case stalled[h.agent]:
		return Stalled
	case h.health.quarantined(now):
		return Quarantined
	}
	return use
}

// logLongWaits logs for each explained wait how many workers of its service are not used for which reason, once per
// longWaitInterval. A new leader logs nothing before the agents have had time to connect.
func (c *Core) logLongWaits(now time.Time, p placement.Plan, uses map[string]WorkerUse) {
	if now.Sub(c.electedAt) < longWait {
		return
	}
	waits := make(map[batch.TaskID]time.Time, len(c.longWaits))
	unused := map[string]map[WorkerUse]int{} // by service
	for _, w := range p.Waits() {
		if w.Obstacles() == nil {
			continue
		}
		if at, logged := c.longWaits[w.Step()]; logged && now.Sub(at) < longWaitInterval {
			waits[w.Step()] = at
			continue
		}
		waits[w.Step()] = now
		if unused[w.Service()] == nil {
			unused[w.Service()] = c.countUnused(w.Service(), uses)
		}
		words := append(formatCounts(w.Obstacles()), formatCounts(unused[w.Service()])...)
		if len(words) == 0 {
			words = []string{"none known"}
		}
		c.logDecision(nil, now, run.NewID(w.Step(), 0), LongWait, fmt.Sprintf("%s; %d tasks for %d ms; workers: %s",
			w.Reason(), w.Tasks(), now.Sub(w.Since()).Milliseconds(), strings.Join(words, ", ")))
	}
	c.longWaits = waits
}

// countUnused counts the workers of a service that get no new runs, by reason.
func (c *Core) countUnused(service string, uses map[string]WorkerUse) map[WorkerUse]int {
	counts := map[WorkerUse]int{}
	for agent, u := range uses {
		if u != Usable && c.hosts[agent].announcement.Service() == service {
			counts[u]++
		}
	}
	return counts
}

// formatCounts returns a word for each count, in a fixed order.
func formatCounts[K ~string](counts map[K]int) (words []string) {
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		words = append(words, fmt.Sprintf("%d %s", counts[k], k))
	}
	return words
}
