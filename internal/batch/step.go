package batch

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Step is a set of identical tasks of a job; it is immutable.
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

// NewStep returns a step of count tasks, each of which requests resources r and runs for about estimate.
func NewStep(count int, r Resources, estimate time.Duration, opts ...StepOption) Step {
	s := Step{count: count, resources: r, estimate: estimate}
	for _, set := range opts {
		set(&s)
	}
	return s
}

// WithAfter sets the earlier steps, by number from 0, whose tasks must all be done first.
func WithAfter(steps ...int) StepOption { return func(s *Step) { s.after = steps } }

// WithCheckpoints sets whether the tasks save checkpoints from which a later run resumes.
func WithCheckpoints(on bool) StepOption { return func(s *Step) { s.checkpoints = on } }

// WithGang sets whether the tasks run only together, and whether they are slow when spread over several racks.
func WithGang(gang, tightlyCoupled bool) StepOption {
	return func(s *Step) { s.gang, s.tightlyCoupled = gang, tightlyCoupled }
}

// WithLabel sets the label that a worker must have; an empty label allows any worker.
func WithLabel(label string) StepOption { return func(s *Step) { s.label = label } }

// WithRack sets the rack that holds the input data; an empty name means no preference.
func WithRack(rack string) StepOption { return func(s *Step) { s.rack = rack } }

// WithMaxPerWorker limits the number of the step's tasks on one worker; 0 means no limit.
func WithMaxPerWorker(limit int) StepOption { return func(s *Step) { s.maxPerWorker = limit } }

// WithDuplicates sets whether several copies of a task may run in parallel.
func WithDuplicates(on bool) StepOption { return func(s *Step) { s.duplicates = on } }

// WithLongRunning sets whether the tasks run until the job is cancelled, and how many of them the scheduler may make
// unavailable at once; see MaxUnavailable.
func WithLongRunning(on bool, maxUnavailable int) StepOption {
	return func(s *Step) { s.longRunning, s.maxUnavailable = on, maxUnavailable }
}

// WithBestEffort sets whether the tasks use only processor time that other tasks leave idle.
func WithBestEffort(on bool) StepOption { return func(s *Step) { s.bestEffort = on } }

// WithImage sets the image that the tasks run and the target for their tail latency, 0 for none.
func WithImage(image string, tailLatencyTarget time.Duration) StepOption {
	return func(s *Step) { s.image, s.tailLatencyTarget = image, tailLatencyTarget }
}

// Count returns the number of tasks, at least 1 in a valid Spec.
func (s Step) Count() int { return s.count }

// Resources returns the resources that each task requests.
func (s Step) Resources() Resources { return s.resources }

// Reserved returns the part of a worker's capacity that each task takes; a best-effort task takes no processor share.
func (s Step) Reserved() Resources {
	if s.bestEffort {
		return Resources{memoryMB: s.resources.memoryMB, accelerators: s.resources.accelerators}
	}
	return s.resources
}

// Estimate returns the duration of one task as declared by the caller.
func (s Step) Estimate() time.Duration { return s.estimate }

// After returns the numbers of the steps that must be done first, all lower than the step's own.
func (s Step) After() []int { return s.after }

// Checkpoints reports whether the tasks save checkpoints from which a later run resumes.
func (s Step) Checkpoints() bool { return s.checkpoints }

// Gang reports whether the tasks run only all together.
func (s Step) Gang() bool { return s.gang }

// TightlyCoupled reports whether the tasks are slow when spread over several racks.
func (s Step) TightlyCoupled() bool { return s.tightlyCoupled }

// Label returns the label that a worker must have, empty for any worker.
func (s Step) Label() string { return s.label }

// Rack returns the rack that holds the input data, empty for no preference.
func (s Step) Rack() string { return s.rack }

// MaxPerWorker returns the largest number of the step's tasks on one worker, 0 for no limit.
func (s Step) MaxPerWorker() int { return s.maxPerWorker }

// LongRunning reports whether the tasks run until the job is cancelled.
func (s Step) LongRunning() bool { return s.longRunning }

// BestEffort reports whether the tasks use only processor time that other tasks leave idle.
func (s Step) BestEffort() bool { return s.bestEffort }

// Image returns the name of the image that the tasks run, empty if none is declared.
func (s Step) Image() string { return s.image }

// TailLatencyTarget returns the target for the tail latency of a long-running task, 0 for none.
func (s Step) TailLatencyTarget() time.Duration { return s.tailLatencyTarget }

// MaxUnavailable returns how many tasks of a long-running step may be down at once when the scheduler stops or moves
// one; 0 means that the caller stated no limit.
func (s Step) MaxUnavailable() int { return s.maxUnavailable }

// Spec is the parsed specification of a job; it is immutable.
type Spec struct {
	id          string
	payload     string
	steps       []Step
	roots       []int // the steps that depend on no other
	occurrences int
	first       time.Time
	interval    time.Duration
}

const (
	// maxSubmittedTasks bounds the tasks of all steps of a new job together, which take about 120 B each in every control
	// host. The whole fleet that the scheduler is designed for runs fewer than half as many.
	maxSubmittedTasks = 100_000
	// maxStoredTasks bounds the tasks of a job in a log or snapshot. Earlier versions accepted any number, and no control
	// host has the memory for a job that is larger than this.
	maxStoredTasks = 2_500_000
)

// NewSpec returns the specification of a job that runs once; it fails without a step, on a step without tasks, on more
// than maxStoredTasks tasks and on a step that depends on one that is not an earlier step.
func NewSpec(id, payload string, steps ...Step) (s Spec, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("job %s: %w", id, err)
		}
	}()
	if len(steps) == 0 {
		return s, errors.New("a job needs a step")
	}
	remaining := maxStoredTasks
	for i, st := range steps {
		if st.count < 1 {
			return s, fmt.Errorf("step %d has %d tasks", i, st.count)
		}
		if remaining -= min(st.count, remaining+1); remaining < 0 {
			return s, fmt.Errorf("more than %d tasks in the steps up to %d", maxStoredTasks, i)
		}
		for _, a := range st.after {
			if a < 0 || a >= i {
				return s, fmt.Errorf("step %d depends on step %d, which is not an earlier one", i, a)
			}
		}
	}
	s = Spec{id: id, payload: payload, steps: steps, occurrences: 1}
	for i, st := range steps {
		if len(st.after) == 0 {
			s.roots = append(s.roots, i)
		}
	}
	return s, nil
}

// maxRequest bounds each resource that a task requests, in the unit of Resources: far above any worker, and low enough that
// sums over all tasks stay within the range of an integer.
const maxRequest = 1 << 40

// CheckSubmission returns an error if the job is not to be accepted: one with more than maxSubmittedTasks tasks, or with a
// number that is negative or above maxRequest. A job that has been accepted before stays valid.
func (s Spec) CheckSubmission() error {
	tasks := s.countTasks()
	switch {
	case tasks > maxSubmittedTasks:
		return fmt.Errorf("job %s has %d tasks, more than %d", s.id, tasks, maxSubmittedTasks)
	case s.interval < 0:
		return fmt.Errorf("job %s has the negative interval %s", s.id, s.interval)
	}
	for i, st := range s.steps {
		if err := st.check(); err != nil {
			return fmt.Errorf("step %d of job %s: %w", i, s.id, err)
		}
	}
	return nil
}

// check returns an error if a number of the step is negative or absurd.
func (s Step) check() error {
	for _, n := range []int{s.resources.millicores, s.resources.memoryMB, s.resources.accelerators} {
		if n < 0 || n > maxRequest {
			return fmt.Errorf("request of %d, not from 0 to %d", n, maxRequest)
		}
	}
	if s.estimate < 0 || s.maxPerWorker < 0 || s.maxUnavailable < 0 {
		return fmt.Errorf("negative duration %s, limit per worker %d or tolerance %d", s.estimate, s.maxPerWorker, s.maxUnavailable)
	}
	return nil
}

// countTasks returns the number of tasks of all steps in one occurrence.
func (s Spec) countTasks() (tasks int) {
	for _, st := range s.steps {
		tasks += st.count
	}
	return tasks
}

// checkTasks returns an error if the tasks of a snapshot, by occurrence and step, are not those of the steps.
func (s Spec) checkTasks(occurrences [][]TaskList) error {
	for _, lists := range occurrences {
		if len(lists) != len(s.steps) {
			return fmt.Errorf("job %s has %d steps, and %d in the snapshot", s.id, len(s.steps), len(lists))
		}
		for i, l := range lists {
			if l.Len() != s.steps[i].count {
				return fmt.Errorf("step %d of job %s has %d tasks, and %d in the snapshot", i, s.id, s.steps[i].count, l.Len())
			}
		}
	}
	return nil
}

// WithSchedule returns a copy that runs a number of times, the first time at first and then once each interval.
func (s Spec) WithSchedule(occurrences int, first time.Time, interval time.Duration) Spec {
	s.occurrences, s.first, s.interval = occurrences, first, interval
	return s
}

// ID returns the id that the caller assigned to the job.
func (s Spec) ID() string { return s.id }

// Payload returns the work description that is passed to each task unchanged.
func (s Spec) Payload() string { return s.payload }

// Steps returns the steps in the order of their numbers; the caller must not modify them.
func (s Spec) Steps() []Step { return s.steps }

// Occurrences returns how many times the steps run, 1 without a schedule.
func (s Spec) Occurrences() int { return s.occurrences }

// Scheduled reports whether the job has start times; a job without them may start at once.
func (s Spec) Scheduled() bool { return !s.first.IsZero() }

// Due returns the earliest start of an occurrence; the zero time means at once.
func (s Spec) Due(occurrence int) time.Time {
	if s.first.IsZero() {
		return time.Time{}
	}
	if s.interval > 0 && time.Duration(occurrence) > math.MaxInt64/s.interval {
		return s.first.Add(math.MaxInt64)
	}
	return s.first.Add(time.Duration(occurrence) * s.interval)
}

// CriticalPaths returns, for each step, the duration of the longest chain of dependent steps that starts with it; length
// returns the duration of one step. The time that it takes grows with the number of dependencies, not with that of the
// chains, which doubles with each step that depends on all earlier ones.
func (s Spec) CriticalPaths(length func(step int) time.Duration) []time.Duration {
	paths := make([]time.Duration, len(s.steps))
	for i := len(s.steps) - 1; i >= 0; i-- {
		paths[i] += length(i)
		for _, earlier := range s.steps[i].after {
			paths[earlier] = max(paths[earlier], paths[i])
		}
	}
	return paths
}

// CriticalPath returns the duration of the longest chain of dependent steps; length returns the duration of one step.
func (s Spec) CriticalPath(length func(step int) time.Duration) time.Duration {
	return slices.Max(s.CriticalPaths(length))
}
