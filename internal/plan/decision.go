package plan

import (
	"fmt"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Decision is one result of a planning pass, which the caller carries out or shows to operators.
//
//sumtype:decl
type Decision interface {
	// Explanation returns one line of text that the operator command explain prints.
	Explanation() string
	decision()
}

// Place reserves accelerators for all members of a queued job.
type Place struct {
	job         string
	members     []job.Member
	explanation string
}

// Job returns the ID of the placed job.
func (p Place) Job() string { return p.job }

// Members returns the worker and the number of accelerators of each member.
func (p Place) Members() []job.Member { return slices.Clone(p.members) }

// Explanation describes the placement and how long the job was queued.
func (p Place) Explanation() string { return p.explanation }

// Method is a way to reclaim the accelerators of a running job.
type Method string

// The methods of a reclaim.
const (
	// Checkpoint saves the state of the job, stops it and queues it again.
	Checkpoint Method = "checkpoint"
	// Throttle pauses the tasks on their workers so that they hold no accelerators.
	Throttle Method = "throttle"
	// Stop ends the run without saving its state.
	Stop Method = "stop"
)

// Reclaim takes the accelerators of a running job back for another job.
type Reclaim struct {
	job         string
	method      Method
	beneficiary string
	explanation string
}

// Job returns the ID of the job that loses its accelerators.
func (r Reclaim) Job() string { return r.job }

// Method returns the cheapest method that the job supports.
func (r Reclaim) Method() Method { return r.method }

// Beneficiary returns the ID of the job that the accelerators are reclaimed for.
func (r Reclaim) Beneficiary() string { return r.beneficiary }

// Explanation describes the method, the number of accelerators and the purpose of the reclaim.
func (r Reclaim) Explanation() string { return r.explanation }

// Resume returns its accelerators to a throttled job.
type Resume struct {
	job         string
	explanation string
}

// Job returns the ID of the throttled job.
func (r Resume) Job() string { return r.job }

// Explanation describes why the job can continue.
func (r Resume) Explanation() string { return r.explanation }

// Reject ends a queued job whose shape does not fit on the fleet even when it is idle.
type Reject struct {
	job    string
	reason string
}

// Job returns the ID of the rejected job.
func (r Reject) Job() string { return r.job }

// Reason describes which part of the fleet is too small for the shape.
func (r Reject) Reason() string { return r.reason }

// Explanation returns the same text as Reason.
func (r Reject) Explanation() string { return r.reason }

// Wait leaves a job in the queue until a later pass.
type Wait struct {
	job         string
	explanation string
}

// Job returns the ID of the queued job.
func (w Wait) Job() string { return w.job }

// Explanation describes what the job waits for.
func (w Wait) Explanation() string { return w.explanation }

// Shortfall reports that a guarantee does not fit on the usable workers.
type Shortfall struct {
	workspace  string
	held       int
	guaranteed workspace.Shape
}

// Workspace returns the name of the workspace with the guarantee.
func (s Shortfall) Workspace() string { return s.workspace }

// Held returns the number of accelerators that remain set apart for the workspace.
func (s Shortfall) Held() int { return s.held }

// Explanation compares the accelerators that are set apart with those of the guarantee.
func (s Shortfall) Explanation() string {
	return fmt.Sprintf("the guarantee of workspace %s cannot be held: %d of the %d accelerators of %s fit on the workers in service",
		s.workspace, s.held, s.guaranteed.Total(), s.guaranteed)
}

// Quarantine keeps new work away from a worker for a pause after repeated failures to start jobs.
type Quarantine struct {
	worker string
	until  time.Time
	reason string
}

// Worker returns the name of the quarantined worker.
func (q Quarantine) Worker() string { return q.worker }

// Until returns the time from which the worker receives work again.
func (q Quarantine) Until() time.Time { return q.until }

// Reason describes the failures that led to the quarantine.
func (q Quarantine) Reason() string { return q.reason }

// Explanation returns the same text as Reason.
func (q Quarantine) Explanation() string { return q.reason }

func (Place) decision()      {}
func (Reclaim) decision()    {}
func (Resume) decision()     {}
func (Reject) decision()     {}
func (Wait) decision()       {}
func (Shortfall) decision()  {}
func (Quarantine) decision() {}
