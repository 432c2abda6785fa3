package plan

import (
	"fmt"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Decision is one thing that the control role carries out or shows to operators.
//
//sumtype:decl
type Decision interface {
	// Explanation returns one line for the operator verb explain.
	Explanation() string
	decision()
}

// Place reserves accelerators for all members of a job.
type Place struct {
	job         string
	members     []job.Member
	explanation string
}

// Job returns the id of the job.
func (p Place) Job() string { return p.job }

// Members returns the worker and accelerators of each member.
func (p Place) Members() []job.Member { return slices.Clone(p.members) }

// Explanation returns why the job is placed there.
func (p Place) Explanation() string { return p.explanation }

// Method is a way to take accelerators back from a running job.
type Method string

// The methods of reclaim.
const (
	Checkpoint Method = "checkpoint"
	Throttle   Method = "throttle"
	Stop       Method = "stop"
)

// Reclaim takes the accelerators of a running job back.
type Reclaim struct {
	job         string
	method      Method
	beneficiary string
	explanation string
}

// Job returns the id of the job that gives its accelerators up.
func (r Reclaim) Job() string { return r.job }

// Method returns the cheapest method that the job allows.
func (r Reclaim) Method() Method { return r.method }

// Beneficiary returns the id of the job that the accelerators are meant for.
func (r Reclaim) Beneficiary() string { return r.beneficiary }

// Explanation returns why this job was chosen.
func (r Reclaim) Explanation() string { return r.explanation }

// Resume gives a throttled job its accelerators back.
type Resume struct {
	job         string
	explanation string
}

// Job returns the id of the job.
func (r Resume) Job() string { return r.job }

// Explanation returns why the job may go on.
func (r Resume) Explanation() string { return r.explanation }

// Reject ends a job that can never run on this fleet.
type Reject struct {
	job    string
	reason string
}

// Job returns the id of the job.
func (r Reject) Job() string { return r.job }

// Reason returns why the job can never run.
func (r Reject) Reason() string { return r.reason }

// Explanation returns the reason.
func (r Reject) Explanation() string { return r.reason }

// Wait leaves a job in the queue.
type Wait struct {
	job         string
	explanation string
}

// Job returns the id of the job.
func (w Wait) Job() string { return w.job }

// Explanation returns what the job waits for.
func (w Wait) Explanation() string { return w.explanation }

// Shortfall says that a guarantee does not fit on the usable workers.
type Shortfall struct {
	workspace  string
	held       int
	guaranteed workspace.Shape
}

// Workspace returns the name of the workspace.
func (s Shortfall) Workspace() string { return s.workspace }

// Held returns the number of accelerators that are still set apart for the workspace.
func (s Shortfall) Held() int { return s.held }

// Explanation returns what is missing.
func (s Shortfall) Explanation() string {
	return fmt.Sprintf("the guarantee of workspace %s cannot be held: %d of the %d accelerators of %s fit on the workers in service",
		s.workspace, s.held, s.guaranteed.Total(), s.guaranteed)
}

// Quarantine keeps a worker without new work for a while.
type Quarantine struct {
	worker string
	until  time.Time
	reason string
}

// Worker returns the name of the worker.
func (s Quarantine) Worker() string { return s.worker }

// Until returns the end of the pause, after which the worker is tried again.
func (s Quarantine) Until() time.Time { return s.until }

// Reason returns what the worker failed at.
func (s Quarantine) Reason() string { return s.reason }

// Explanation returns the reason.
func (s Quarantine) Explanation() string { return s.reason }

func (Place) decision()      {}
func (Reclaim) decision()    {}
func (Resume) decision()     {}
func (Reject) decision()     {}
func (Wait) decision()       {}
func (Shortfall) decision()  {}
func (Quarantine) decision() {}
