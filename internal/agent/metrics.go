package agent

import (
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// The names of the agent's metrics; a name that ends with a dot is followed by a state and has the value 1 or 0.
const (
	InFlightMetric = "agent.in_flight"
	StateMetric    = "agent.state."
)

// WithMetrics sets the registry in which the agent registers its metrics.
func WithMetrics(r *telemetry.Registry) Option { return func(o *options) { o.registry = r } }

func (a *Agent) register(r *telemetry.Registry) {
	r.GaugeFunc(InFlightMetric, a.board.InFlight)
	for _, state := range []fleet.EndpointState{fleet.Ready, fleet.Leaving, fleet.Silent} {
		r.GaugeFunc(StateMetric+string(state), func() (value int64) {
			if a.board.State() == state {
				value = 1
			}
			return value
		})
	}
}
