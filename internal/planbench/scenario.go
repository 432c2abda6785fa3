package planbench

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Day is the time from Epoch during which throughput and fragmentation are measured.
const Day = 8 * time.Hour

// Epoch is the virtual time at which each scenario begins.
var Epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// Scenario is a fleet, its workspaces, a list of arrivals and at most one failure of each kind.
type Scenario struct {
	name          string
	workers       []fleet.Worker
	workspaces    []workspace.Workspace
	arrivals      []Arrival
	lostRack      string
	lostAt        time.Duration
	failingWorker string
}

// NewScenario returns a scenario without failures.
func NewScenario(name string, workers []fleet.Worker, workspaces []workspace.Workspace, arrivals []Arrival) Scenario {
	return Scenario{name: name, workers: workers, workspaces: workspaces, arrivals: arrivals}
}

// WithLostRack returns the scenario with a rack that loses power at the given time and does not return.
func (s Scenario) WithLostRack(rack string, at time.Duration) Scenario {
	s.lostRack, s.lostAt = rack, at
	return s
}

// WithFailingWorker returns the scenario with a worker on which every start fails, none if the name is empty.
func (s Scenario) WithFailingWorker(worker string) Scenario {
	s.failingWorker = worker
	return s
}

// Name returns the name that selects the scenario on the command line.
func (s Scenario) Name() string { return s.name }

// Arrival is a job, its actual run time, and when it is cancelled, 0 for never.
type Arrival struct {
	spec     job.Spec
	at       time.Duration
	runTime  time.Duration
	cancelAt time.Duration
}

// NewArrival returns the arrival of a job at its time of submission.
func NewArrival(spec job.Spec, runTime, cancelAt time.Duration) Arrival {
	return Arrival{spec: spec, at: spec.SubmittedAt().Sub(Epoch), runTime: runTime, cancelAt: cancelAt}
}
