package plan

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// View is an immutable snapshot of the fleet, the jobs and the workspaces that a planner decides from.
type View struct {
	workers       []fleet.Worker
	jobs          []job.Job
	workspaces    []workspace.Workspace
	unreachable   map[string]bool
	drained       map[string]bool
	quarantined   map[string]time.Time
	usage         map[string]Usage
	progress      map[string]Progress
	startOutcomes []StartOutcome
	partial       bool
}

// ViewOption adds information to a View.
type ViewOption func(*View)

// NewView returns a view of all known workers, of the queued and placed jobs in any order, and of the workspaces. It
// keeps the slices, which the caller must not modify afterwards.
func NewView(workers []fleet.Worker, jobs []job.Job, workspaces []workspace.Workspace, opts ...ViewOption) View {
	v := View{
		workers: workers, jobs: jobs, workspaces: workspaces,
		unreachable: map[string]bool{}, drained: map[string]bool{}, quarantined: map[string]time.Time{},
		usage: map[string]Usage{}, progress: map[string]Progress{},
	}
	for _, o := range opts {
		o(&v)
	}
	return v
}

// WithUnreachable marks workers that do not respond. They receive no new work, and their tasks end when their leases
// expire.
func WithUnreachable(names ...string) ViewOption {
	return func(v *View) {
		for _, n := range names {
			v.unreachable[n] = true
		}
	}
}

// WithDrained marks workers that are being drained; they receive no new work.
func WithDrained(names ...string) ViewOption {
	return func(v *View) {
		for _, n := range names {
			v.drained[n] = true
		}
	}
}

// WithQuarantined marks a worker that receives no new work until the given time, because of an earlier Quarantine
// decision.
func WithQuarantined(name string, until time.Time) ViewOption {
	return func(v *View) { v.quarantined[name] = until }
}

// WithUsage adds usage reports of workers; for each worker the latest report counts.
func WithUsage(reports ...Usage) ViewOption {
	return func(v *View) {
		for _, u := range reports {
			if old, ok := v.usage[u.worker]; !ok || u.at.After(old.at) {
				v.usage[u.worker] = u
			}
		}
	}
}

// WithProgress adds the progress of running jobs.
func WithProgress(reports ...Progress) ViewOption {
	return func(v *View) {
		for _, p := range reports {
			v.progress[p.job] = p
		}
	}
}

// WithStartOutcomes adds the recent attempts to start tasks, the oldest first.
func WithStartOutcomes(starts ...StartOutcome) ViewOption {
	return func(v *View) { v.startOutcomes = append(v.startOutcomes, starts...) }
}

// WithPartialFleet marks a view that may lack workers, as after a change of leader. No job is rejected and no
// shortfall is reported on such a view.
func WithPartialFleet() ViewOption { return func(v *View) { v.partial = true } }

// Workers returns all known workers. The caller must not modify the slice.
func (v View) Workers() []fleet.Worker { return v.workers }

// Jobs returns the queued and placed jobs. The caller must not modify the slice.
func (v View) Jobs() []job.Job { return v.jobs }

// Workspaces returns the workspaces with their guarantees. The caller must not modify the slice.
func (v View) Workspaces() []workspace.Workspace { return v.workspaces }

// Reachable reports whether the worker responds.
func (v View) Reachable(worker string) bool { return !v.unreachable[worker] }

// Drained reports whether the worker is being drained.
func (v View) Drained(worker string) bool { return v.drained[worker] }

// QuarantinedUntil returns the end of the worker's quarantine, the zero time if it has none.
func (v View) QuarantinedUntil(worker string) time.Time { return v.quarantined[worker] }

// Usage returns the latest usage report of the worker; ok is false if there is none.
func (v View) Usage(worker string) (u Usage, ok bool) {
	u, ok = v.usage[worker]
	return u, ok
}

// Progress returns the progress of the running job; ok is false if it is unknown.
func (v View) Progress(id string) (p Progress, ok bool) {
	p, ok = v.progress[id]
	return p, ok
}

// StartOutcomes returns the recent attempts to start tasks, the oldest first. The caller must not modify the slice.
func (v View) StartOutcomes() []StartOutcome { return v.startOutcomes }

// PartialFleet reports whether the view may lack workers.
func (v View) PartialFleet() bool { return v.partial }

// usable reports whether the worker can receive new work.
func (v View) usable(worker string, now time.Time) bool {
	return !v.unreachable[worker] && !v.drained[worker] && !now.Before(v.quarantined[worker])
}
