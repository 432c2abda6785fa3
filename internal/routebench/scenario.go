package routebench

import (
	"math"
	"math/rand/v2"
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
)

// Fault is what is wrong with the first endpoint.
type Fault string

// The faults; a slow endpoint takes ten times as long, a failing one answers at once with an error.
const (
	Sound   Fault = "sound"
	Slow    Fault = "slow"
	Failing Fault = "failing"
)

const (
	slots       = 8
	meanService = 200 * time.Millisecond
	// serviceSpread is the sigma of the log-normal service times; their 99th percentile is 16 times the median.
	serviceSpread = 1.2
	hop           = time.Millisecond
	burstLength   = time.Second
	burstFactor   = 4
)

// shares are the parts of the requests that the four workspaces send.
var shares = [...]float64{0.55, 0.25, 0.15, 0.05}

var workspaces = [len(shares)]string{"a", "b", "c", "d"}

// Scenario is a fleet and the requests that reach it.
type Scenario struct {
	name             string
	hosts, endpoints int
	load, urgent     float64
	lag, length      time.Duration
	fault            Fault
	burst            bool
}

// NewScenario returns a scenario at a load as a share of capacity and with a share of urgent requests.
func NewScenario(name string, hosts, endpoints int, load, urgent float64, length time.Duration) Scenario {
	return Scenario{name: name, hosts: hosts, endpoints: endpoints, load: load, urgent: urgent, length: length}
}

// WithLag returns the scenario with load figures that come late.
func (s Scenario) WithLag(d time.Duration) Scenario {
	s.lag = d
	return s
}

// WithFault returns the scenario with a fault of the first endpoint.
func (s Scenario) WithFault(f Fault) Scenario {
	s.fault = f
	return s
}

// WithBurst returns the scenario with four times the load for a second in its middle.
func (s Scenario) WithBurst() Scenario {
	s.burst = true
	return s
}

// Name returns the name of the scenario.
func (s Scenario) Name() string { return s.name }

// call is one request.
type call struct {
	at, service     time.Duration
	host, workspace int
	urgency         job.Urgency
	attempts        int
	excluded        []string
	decided         bool
}

// next draws the request after the one at the given time.
func (s Scenario) next(at time.Duration, random *rand.Rand) *call {
	rate := s.load * float64(s.endpoints*slots) / meanService.Seconds()
	if s.burst && at >= s.length/2 && at < s.length/2+burstLength {
		rate *= burstFactor
	}
	factor := math.Exp(serviceSpread*random.NormFloat64() - serviceSpread*serviceSpread/2)
	c := &call{
		at: at + time.Duration(random.ExpFloat64()/rate*float64(time.Second)), urgency: job.Patient,
		service: time.Duration(float64(meanService) * factor), host: random.IntN(s.hosts),
	}
	if random.Float64() < s.urgent {
		c.urgency = job.Urgent
	}
	for x := random.Float64() - shares[0]; x >= 0 && c.workspace < len(shares)-1; x -= shares[c.workspace] {
		c.workspace++
	}
	return c
}
