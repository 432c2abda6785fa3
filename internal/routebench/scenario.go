package routebench

import (
	"math"
	"math/rand/v2"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
)

// Fault is the fault of the first endpoint of a scenario.
type Fault string

// The faults. A slow endpoint takes ten times as long as the others; a failing one answers with an error at once.
const (
	NoFault Fault = "sound"
	Slow    Fault = "slow"
	Failing Fault = "failing"
)

const (
	slots       = 8
	meanService = 200 * time.Millisecond
	// serviceSpread is the sigma of the log-normal service times; their 99th percentile is 16 times the median.
	serviceSpread = 1.2
	// hopLatency is the network latency between an entry host and an agent, one way.
	hopLatency  = time.Millisecond
	burstLength = time.Second
	burstFactor = 4
)

// workspaceShares are the shares of the four workspaces in the requests.
var workspaceShares = [...]float64{0.55, 0.25, 0.15, 0.05}

var workspaceNames = [len(workspaceShares)]string{"a", "b", "c", "d"}

// Scenario describes a set of entry hosts and endpoints and the requests that arrive.
type Scenario struct {
	name              string
	hosts, endpoints  int
	load, urgent      float64
	reportLag, length time.Duration
	fault             Fault
	burst             bool
}

// NewScenario returns a scenario without faults in which requests arrive for the given virtual time. The load is a
// share of the total capacity, above 1 for overload, and urgent is the share of urgent requests.
func NewScenario(name string, hosts, endpoints int, load, urgent float64, length time.Duration) Scenario {
	return Scenario{name: name, hosts: hosts, endpoints: endpoints, load: load, urgent: urgent, length: length}
}

// WithLag returns the scenario with load reports that take effect d after the answer that carries them.
func (s Scenario) WithLag(d time.Duration) Scenario {
	s.reportLag = d
	return s
}

// WithFault returns the scenario with a fault of its first endpoint; all others stay without fault.
func (s Scenario) WithFault(f Fault) Scenario {
	s.fault = f
	return s
}

// WithBurst returns the scenario with four times the load for one second, from the middle of its length on.
func (s Scenario) WithBurst() Scenario {
	s.burst = true
	return s
}

// Name returns the name in the first column of Result.Row.
func (s Scenario) Name() string { return s.name }

// request is one simulated request; at is its time of arrival and service its time in the endpoint.
type request struct {
	at, service     time.Duration
	host, workspace int
	urgency         job.Urgency
	attempts        int
	excluded        []string
	dequeued        bool
}

// next returns a random request that arrives after the given time.
func (s Scenario) next(previous time.Duration, random *rand.Rand) *request {
	rate := s.load * float64(s.endpoints*slots) / meanService.Seconds()
	if s.burst && previous >= s.length/2 && previous < s.length/2+burstLength {
		rate *= burstFactor
	}
	factor := math.Exp(serviceSpread*random.NormFloat64() - serviceSpread*serviceSpread/2)
	q := &request{
		at: previous + time.Duration(random.ExpFloat64()/rate*float64(time.Second)), urgency: job.Patient,
		service: time.Duration(float64(meanService) * factor), host: random.IntN(s.hosts),
	}
	if random.Float64() < s.urgent {
		q.urgency = job.Urgent
	}
	for x := random.Float64() - workspaceShares[0]; x >= 0 && q.workspace < len(workspaceShares)-1; x -= workspaceShares[q.workspace] {
		q.workspace++
	}
	return q
}
