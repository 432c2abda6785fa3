package plan

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// View is what the planner decides on; it is immutable.
type View struct {
	workers     []fleet.Worker
	jobs        []job.Job
	workspaces  []workspace.Workspace
	unreachable map[string]bool
	drained     map[string]bool
	setAside    map[string]time.Time
	usage       map[string]Usage
	progress    map[string]Progress
	starts      []StartOutcome
	partial     bool
}

// ViewOption adds a part to a View.
type ViewOption func(*View)

// NewView returns a view of all known workers, of queued and placed jobs in any order, and of the workspaces.
func NewView(workers []fleet.Worker, jobs []job.Job, workspaces []workspace.Workspace, opts ...ViewOption) View {
	v := View{
		workers: workers, jobs: jobs, workspaces: workspaces,
		unreachable: map[string]bool{}, drained: map[string]bool{}, setAside: map[string]time.Time{},
		usage: map[string]Usage{}, progress: map[string]Progress{},
	}
	for _, o := range opts {
		o(&v)
	}
	return v
}

// WithUnreachable marks workers that do not answer; they receive no new work and their tasks end with their leases.
func WithUnreachable(names ...string) ViewOption {
	return func(v *View) {
		for _, n := range names {
			v.unreachable[n] = true
		}
	}
}

// WithDrained marks workers that an operator empties; they receive no new work.
func WithDrained(names ...string) ViewOption {
	return func(v *View) {
		for _, n := range names {
			v.drained[n] = true
		}
	}
}

// WithQuarantined marks a worker that an earlier SetAside decision pauses until the given time.
func WithQuarantined(name string, until time.Time) ViewOption {
	return func(v *View) { v.setAside[name] = until }
}

// WithUsage adds reports of workers; a later report of the same worker replaces an earlier one.
func WithUsage(reports ...Usage) ViewOption {
	return func(v *View) {
		for _, u := range reports {
			if old, ok := v.usage[u.worker]; !ok || u.at.After(old.at) {
				v.usage[u.worker] = u
			}
		}
	}
}

// WithProgress adds what is known about running jobs.
func WithProgress(reports ...Progress) ViewOption {
	return func(v *View) {
		for _, p := range reports {
			v.progress[p.job] = p
		}
	}
}

// WithStartOutcomes adds the recent outcomes of task starts, oldest first.
func WithStartOutcomes(starts ...StartOutcome) ViewOption {
	return func(v *View) { v.starts = append(v.starts, starts...) }
}

// WithPartialFleet marks a view that lacks workers, as after a change of leader; no job is rejected on it.
func WithPartialFleet() ViewOption { return func(v *View) { v.partial = true } }

// Workers returns all known workers, which the caller must not modify.
func (v View) Workers() []fleet.Worker { return v.workers }

// Jobs returns the queued and placed jobs, which the caller must not modify.
func (v View) Jobs() []job.Job { return v.jobs }

// Workspaces returns the workspaces, which the caller must not modify.
func (v View) Workspaces() []workspace.Workspace { return v.workspaces }

// Reachable reports whether the worker answers.
func (v View) Reachable(worker string) bool { return !v.unreachable[worker] }

// Drained reports whether an operator empties the worker.
func (v View) Drained(worker string) bool { return v.drained[worker] }

// QuarantinedUntil returns the end of the worker's pause, the zero time if it has none.
func (v View) QuarantinedUntil(worker string) time.Time { return v.setAside[worker] }

// Usage returns the latest report of a worker.
func (v View) Usage(worker string) (u Usage, ok bool) {
	u, ok = v.usage[worker]
	return u, ok
}

// Progress returns what is known about a running job.
func (v View) Progress(id string) (p Progress, ok bool) {
	p, ok = v.progress[id]
	return p, ok
}

// StartOutcomes returns the recent outcomes of task starts, which the caller must not modify.
func (v View) StartOutcomes() []StartOutcome { return v.starts }

// PartialFleet reports whether workers may be missing.
func (v View) PartialFleet() bool { return v.partial }

// usable reports whether the worker may receive new work.
func (v View) usable(worker string, now time.Time) bool {
	return !v.unreachable[worker] && !v.drained[worker] && !now.Before(v.setAside[worker])
}
