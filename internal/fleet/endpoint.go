package fleet

// EndpointState says whether an endpoint takes new work.
type EndpointState string

// The states of an endpoint.
const (
	Ready   EndpointState = "ready"
	Leaving EndpointState = "leaving"
	Silent  EndpointState = "silent"
)

// Endpoint is a worker's service together with the agent beside it; it is immutable but for its load.
// It is a small handle, since a snapshot copies all its endpoints at each change.
type Endpoint struct {
	facts *facts
	state EndpointState
	load  *Load
}

// facts is what one incarnation of an agent never changes.
type facts struct {
	worker      Worker
	address     string
	slots       int
	connections int
	incarnation uint64
}

// NewEndpoint returns an endpoint in state Ready whose agent listens on address.
func NewEndpoint(worker Worker, address string, slots, connections int, incarnation uint64) Endpoint {
	f := &facts{worker: worker, address: address, slots: slots, connections: connections, incarnation: incarnation}
	return Endpoint{facts: f, state: Ready, load: &Load{}}
}

// WithState returns the endpoint in another state, sharing its load.
func (e Endpoint) WithState(state EndpointState) Endpoint {
	e.state = state
	return e
}

// WithLoad returns the endpoint with another load counter.
func (e Endpoint) WithLoad(load *Load) Endpoint {
	e.load = load
	return e
}

// Worker returns the worker that the endpoint runs on.
func (e Endpoint) Worker() Worker { return e.facts.worker }

// Name returns the name of the worker.
func (e Endpoint) Name() string { return e.facts.worker.name }

// Address returns the IP address and port of the agent.
func (e Endpoint) Address() string { return e.facts.address }

// Slots returns the number of requests that the endpoint runs at once.
func (e Endpoint) Slots() int { return e.facts.slots }

// Connections returns the number of connections that the endpoint accepts.
func (e Endpoint) Connections() int { return e.facts.connections }

// Incarnation returns the number that each start of the agent draws anew.
func (e Endpoint) Incarnation() uint64 { return e.facts.incarnation }

// State returns whether the endpoint takes new work.
func (e Endpoint) State() EndpointState { return e.state }

// Load returns the counter of requests in flight.
func (e Endpoint) Load() *Load { return e.load }

// IsZero reports whether the endpoint is the zero value, which no agent announces.
func (e Endpoint) IsZero() bool { return e.facts == nil }

// EqualExceptLoad reports whether two endpoints agree in everything but their load.
func (e Endpoint) EqualExceptLoad(o Endpoint) bool {
	if e.facts == o.facts || e.facts == nil || o.facts == nil {
		return e.facts == o.facts && e.state == o.state
	}
	return *e.facts == *o.facts && e.state == o.state
}
