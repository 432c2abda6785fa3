package planbench

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Day is the time after which throughput and fragmentation are no longer counted.
const Day = 8 * time.Hour

// Epoch is the time at which each scenario begins.
var Epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// Scenario is a fleet, its workspaces and a list of arrivals.
type Scenario struct {
	name     string
	workers  []fleet.Worker
	spaces   []workspace.Workspace
	arrivals []Arrival
	lost     string
	lostAt   time.Duration
	broken   string
}

// NewScenario returns a scenario in which no worker fails.
func NewScenario(name string, workers []fleet.Worker, spaces []workspace.Workspace, arrivals []Arrival) Scenario {
	return Scenario{name: name, workers: workers, spaces: spaces, arrivals: arrivals}
}

// WithLostRack returns the scenario with a rack that loses power for good at the given time.
func (s Scenario) WithLostRack(rack string, at time.Duration) Scenario {
	s.lost, s.lostAt = rack, at
	return s
}

// WithFailingWorker returns the scenario with a worker that fails everything it starts.
func (s Scenario) WithFailingWorker(worker string) Scenario {
	s.broken = worker
	return s
}

// Name returns the name of the scenario.
func (s Scenario) Name() string { return s.name }

// Arrival is a job, how long it really runs, and when it is cancelled, 0 for never.
type Arrival struct {
	spec     job.Spec
	at       time.Duration
	runs     time.Duration
	cancelAt time.Duration
}

// NewArrival returns the arrival of a job at the time it was submitted.
func NewArrival(spec job.Spec, runs, cancelAt time.Duration) Arrival {
	return Arrival{spec: spec, at: spec.SubmittedAt().Sub(Epoch), runs: runs, cancelAt: cancelAt}
}
