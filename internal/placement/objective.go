package placement

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// fairShare is the part of a service's room beyond which a step counts as running in waves.
const fairShare = 0.25

// objective returns how long a job may take from its acceptance or its due time on.
func (p *planner) objective(j *batch.Job) time.Duration {
	q := p.view.state.CurrentQueue(j)
	return q.Objective(j.Spec().CriticalPath(func(i int) time.Duration {
		return p.span(j, i, fairShare*p.room(q, j.Spec().Steps()[i]))
	}))
}

// span returns how long a step takes with room for so many tasks; one that lasts is served from its start on.
func (p *planner) span(j *batch.Job, step int, room float64) time.Duration {
	s := j.Spec().Steps()[step]
	if s.LongRunning() {
		return 0
	}
	return p.view.length(j, step) * time.Duration(waves(s, room))
}

// needed returns how long a job takes from the given step on if it gets all that its service has.
func (p *planner) needed(j *batch.Job, from int) time.Duration {
	q := p.view.state.CurrentQueue(j)
	return j.Spec().CriticalPathFrom(from, func(i int) time.Duration {
		return p.span(j, i, p.room(q, j.Spec().Steps()[i]))
	})
}

// waves returns how many times a step fills room for so many tasks; a gang runs at once.
func waves(s batch.Step, room float64) int {
	tasks := max(int(room), 1)
	if s.Gang() {
		return 1
	}
	return (s.Count() + tasks - 1) / tasks
}

// roomKey is what the room for a step depends on.
type roomKey struct {
	service string
	label   string
	needs   batch.Resources
}

// room returns how many tasks of a step its service's workers can run at once.
func (p *planner) room(q batch.Queue, s batch.Step) float64 {
	key := roomKey{q.Service(), s.Label(), s.Reserved()}
	if sum, known := p.rooms[key]; known {
		return sum
	}
	sum := 0.0
	for _, e := range p.places {
		if e.service != key.service || key.label != "" && !slices.Contains(e.labels, key.label) {
			continue
		}
		for free := e.capacity; key.needs.Fits(free) && key.needs != (batch.Resources{}); free = free.Minus(key.needs) {
			sum++
		}
	}
	p.rooms[key] = sum
	return sum
}
