package placement

import (
	"math"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// fairShare is the share of a service's task slots on which the objective assumes a step to run; a wider step counts as
// running in waves.
const fairShare = 0.25

// objective returns the time within which a job should end, counted from its acceptance or its occurrence's due time.
func (p *planner) objective(j *batch.Job) time.Duration {
	if d, known := p.objectives[j]; known {
		return d
	}
	q := p.view.state.CurrentQueue(j)
	p.objectives[j] = q.Objective(j.Spec().CriticalPath(func(i int) time.Duration {
		return p.stepDuration(j, i, fairShare*p.slots(q, j.Spec().Steps()[i]))
	}))
	return p.objectives[j]
}

// stepDuration returns how long a step takes with the given number of task slots. It is 0 for a long-running step,
// whose objective is met as soon as it runs.
func (p *planner) stepDuration(j *batch.Job, step int, slots float64) time.Duration {
	s := j.Spec().Steps()[step]
	if s.LongRunning() {
		return 0
	}
	return p.view.taskDuration(j, step) * time.Duration(waves(s, slots))
}

// remainingTimes returns, for each step, how long a job takes from that step on if it can use all workers of its service.
func (p *planner) remainingTimes(j *batch.Job) []time.Duration {
	if times, known := p.remaining[j]; known {
		return times
	}
	q := p.view.state.CurrentQueue(j)
	p.remaining[j] = j.Spec().CriticalPaths(func(i int) time.Duration {
		return p.stepDuration(j, i, p.slots(q, j.Spec().Steps()[i]))
	})
	return p.remaining[j]
}

// waves returns in how many rounds a step runs on the given number of task slots. A gang runs in one.
func waves(s batch.Step, slots float64) int {
	tasks := max(int(slots), 1)
	if s.Gang() {
		return 1
	}
	return (s.Count() + tasks - 1) / tasks
}

// slotsKey holds what the number of task slots of a step depends on.
type slotsKey struct {
	service string
	label   string
	needs   batch.Resources
}

// slots returns how many tasks of a step the empty workers of its service can run at once.
func (p *planner) slots(q batch.Queue, s batch.Step) float64 {
	key := slotsKey{q.Service(), s.Label(), s.Reserved()}
	if sum, known := p.slotCounts[key]; known {
		return sum
	}
	sum := 0.0
	for _, w := range p.workers {
		if w.service != key.service || key.label != "" && !slices.Contains(w.labels, key.label) {
			continue
		}
		if key.needs != (batch.Resources{}) {
			sum += float64(w.capacity.Holds(key.needs, math.MaxInt))
		}
	}
	p.slotCounts[key] = sum
	return sum
}
