package batch

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Step is a set of equal tasks of a job; it is immutable.
type Step struct {
	count             int
	resources         Resources
	estimate          time.Duration
	after             []int
	checkpoints       bool
	gang              bool
	tightlyCoupled    bool
	label             string
	rack              string
	maxPerWorker      int
	duplicates        bool
	longRunning       bool
	bestEffort        bool
	image             string
	tailLatencyTarget time.Duration
	maxUnavailable    int
}

// StepOption sets one property of a Step.
type StepOption func(*Step)

// NewStep returns a step of count tasks that ask for resources and take about estimate each.
func NewStep(count int, r Resources, estimate time.Duration, opts ...StepOption) Step {
	s := Step{count: count, resources: r, estimate: estimate}
	for _, set := range opts {
		set(&s)
	}
	return s
}

// WithAfter names the earlier steps, from 0, whose tasks must all be done first.
func WithAfter(steps ...int) StepOption { return func(s *Step) { s.after = steps } }

// WithCheckpoints says whether the tasks checkpoint their progress.
func WithCheckpoints(on bool) StepOption { return func(s *Step) { s.checkpoints = on } }

// WithGang says whether the tasks run only together, and whether they are slow on more than one rack.
func WithGang(gang, tight bool) StepOption {
	return func(s *Step) { s.gang, s.tightlyCoupled = gang, tight }
}

// WithLabel sets the label that a worker must have; empty means any worker.
func WithLabel(label string) StepOption { return func(s *Step) { s.label = label } }

// WithRack sets the rack that holds the data; empty means that no rack is better.
func WithRack(rack string) StepOption { return func(s *Step) { s.rack = rack } }

// WithMaxPerWorker bounds the tasks on one worker; 0 means no bound.
func WithMaxPerWorker(most int) StepOption { return func(s *Step) { s.maxPerWorker = most } }

// WithDuplicates says whether copies of a task may run in parallel.
func WithDuplicates(on bool) StepOption { return func(s *Step) { s.duplicates = on } }

// WithLongRunning says that the tasks run until the job is cancelled; mayMiss of them may be away by the system's actions.
func WithLongRunning(on bool, mayMiss int) StepOption {
	return func(s *Step) { s.longRunning, s.maxUnavailable = on, mayMiss }
}

// WithBestEffort says that the tasks take the processor time that others leave over.
func WithBestEffort(on bool) StepOption { return func(s *Step) { s.bestEffort = on } }

// WithImage names what the tasks run and the bound of their tail latency, 0 for none.
func WithImage(image string, target time.Duration) StepOption {
	return func(s *Step) { s.image, s.tailLatencyTarget = image, target }
}

// Count returns the number of tasks.
func (s Step) Count() int { return s.count }

// Resources returns what each task asks for.
func (s Step) Resources() Resources { return s.resources }

// Reserved returns what each task takes of a worker's capacity.
func (s Step) Reserved() Resources {
	if s.bestEffort {
		return Resources{memoryMB: s.resources.memoryMB, accelerators: s.resources.accelerators}
	}
	return s.resources
}

// Estimate returns the declared duration of a task.
func (s Step) Estimate() time.Duration { return s.estimate }

// After returns the steps that must be done first.
func (s Step) After() []int { return s.after }

// Checkpoints reports whether the tasks checkpoint their progress.
func (s Step) Checkpoints() bool { return s.checkpoints }

// Gang reports whether the tasks run only together.
func (s Step) Gang() bool { return s.gang }

// TightlyCoupled reports whether the tasks are slow on more than one rack.
func (s Step) TightlyCoupled() bool { return s.tightlyCoupled }

// Label returns the label that a worker must have.
func (s Step) Label() string { return s.label }

// Rack returns the rack that holds the data.
func (s Step) Rack() string { return s.rack }

// MaxPerWorker returns the bound of tasks on one worker, 0 for none.
func (s Step) MaxPerWorker() int { return s.maxPerWorker }

// LongRunning reports whether the tasks run until the job is cancelled.
func (s Step) LongRunning() bool { return s.longRunning }

// BestEffort reports whether the tasks take the processor time that others leave over.
func (s Step) BestEffort() bool { return s.bestEffort }

// Image returns what the tasks run.
func (s Step) Image() string { return s.image }

// TailLatencyTarget returns the bound of the tail latency of a task that lasts.
func (s Step) TailLatencyTarget() time.Duration { return s.tailLatencyTarget }

// MaxUnavailable returns how many tasks of a step that lasts may be away at once by the system's actions.
func (s Step) MaxUnavailable() int { return s.maxUnavailable }

// Spec is what a caller submitted; it is immutable.
type Spec struct {
	id          string
	payload     string
	steps       []Step
	occurrences int
	first       time.Time
	interval    time.Duration
}

// NewSpec returns the spec of a job; it fails on steps that cannot be ordered.
func NewSpec(id, payload string, steps ...Step) (s Spec, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("job %s: %w", id, err)
		}
	}()
	if len(steps) == 0 {
		return s, errors.New("a job needs a step")
	}
	for i, e := range steps {
		if e.count < 1 {
			return s, fmt.Errorf("step %d has %d tasks", i, e.count)
		}
		for _, a := range e.after {
			if a < 0 || a >= i {
				return s, fmt.Errorf("step %d depends on step %d, which is not an earlier one", i, a)
			}
		}
	}
	return Spec{id: id, payload: payload, steps: steps, occurrences: 1}, nil
}

// WithSchedule returns the spec run several times, from first on, one each interval.
func (s Spec) WithSchedule(times int, first time.Time, interval time.Duration) Spec {
	s.occurrences, s.first, s.interval = times, first, interval
	return s
}

// ID returns the id that the caller chose.
func (s Spec) ID() string { return s.id }

// Payload returns what the tasks are told to run.
func (s Spec) Payload() string { return s.payload }

// Steps returns the steps, which the caller must not modify.
func (s Spec) Steps() []Step { return s.steps }

// Occurrences returns how often the steps run.
func (s Spec) Occurrences() int { return s.occurrences }

// Scheduled reports whether the job runs at given times.
func (s Spec) Scheduled() bool { return !s.first.IsZero() }

// Due returns when an occurrence may begin; the zero time means at once.
func (s Spec) Due(occurrence int) time.Time {
	if s.first.IsZero() {
		return time.Time{}
	}
	return s.first.Add(time.Duration(occurrence) * s.interval)
}

// CriticalPathFrom returns the duration of the longest chain of steps from the given step on, of which each takes what length says.
func (s Spec) CriticalPathFrom(from int, length func(step int) time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := from + 1; i < len(s.steps); i++ {
		if slices.Contains(s.steps[i].after, from) {
			longest = max(longest, s.CriticalPathFrom(i, length))
		}
	}
	return length(from) + longest
}

// CriticalPath returns the duration of the longest chain of steps, of which each takes what length says.
func (s Spec) CriticalPath(length func(step int) time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range s.steps {
		longest = max(longest, s.CriticalPathFrom(i, length))
	}
	return longest
}
