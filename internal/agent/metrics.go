package agent

import (
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// The names of the agent's metrics; a state is added to the one that ends with a dot, and its value is 1 or 0.
const (
	InFlightMetric = "agent.in_flight"
	StateMetric    = "agent.state."
)

// WithMetrics sets the registry of the agent's metrics.
func WithMetrics(r *telemetry.Registry) Option { return func(o *options) { o.registry = r } }

func (a *Agent) register(r *telemetry.Registry) {
	r.GaugeFunc(InFlightMetric, a.board.InFlight)
	for _, state := range []fleet.EndpointState{fleet.Ready, fleet.Leaving, fleet.Silent} {
		r.GaugeFunc(StateMetric+string(state), func() (is int64) {
			if a.board.State() == state {
				is = 1
			}
			return is
		})
	}
}
