package fleet

// EndpointState tells whether an endpoint gets new requests.
type EndpointState string

// The states of an endpoint: it gets new requests, it only finishes those in flight, or its agent does not answer.
const (
	Ready   EndpointState = "ready"
	Leaving EndpointState = "leaving"
	Silent  EndpointState = "silent"
)

// Endpoint is a worker's service together with the agent on the same host; it is immutable except for its load. It is
// small, since each change of a snapshot copies all endpoints.
type Endpoint struct {
	info  *endpointInfo
	state EndpointState
	load  *Load
}

// endpointInfo holds the properties of an endpoint that do not change within an incarnation of its agent.
type endpointInfo struct {
	worker      Worker
	address     string
	slots       int
	connections int
	incarnation uint64
}

// NewEndpoint returns an endpoint in state Ready whose agent listens on address.
func NewEndpoint(worker Worker, address string, slots, connections int, incarnation uint64) Endpoint {
	info := &endpointInfo{worker: worker, address: address, slots: slots, connections: connections, incarnation: incarnation}
	return Endpoint{info: info, state: Ready, load: &Load{}}
}

// WithState returns a copy in another state that shares the load counter.
func (e Endpoint) WithState(state EndpointState) Endpoint {
	e.state = state
	return e
}

// WithLoad returns a copy with another load counter.
func (e Endpoint) WithLoad(load *Load) Endpoint {
	e.load = load
	return e
}

// Worker returns the worker that the endpoint runs on.
func (e Endpoint) Worker() Worker { return e.info.worker }

// Name returns the name of the worker, which also identifies the endpoint.
func (e Endpoint) Name() string { return e.info.worker.name }

// Address returns the IP address and port that the agent listens on.
func (e Endpoint) Address() string { return e.info.address }

// Slots returns the number of requests that the endpoint processes at the same time.
func (e Endpoint) Slots() int { return e.info.slots }

// Connections returns the number of connections that the endpoint accepts at the same time.
func (e Endpoint) Connections() int { return e.info.connections }

// Incarnation returns the incarnation of the agent, a number that each start of its process draws at random.
func (e Endpoint) Incarnation() uint64 { return e.info.incarnation }

// State returns whether the endpoint gets new requests.
func (e Endpoint) State() EndpointState { return e.state }

// Load returns the counters of requests in flight and failures, which copies of the endpoint share.
func (e Endpoint) Load() *Load { return e.load }

// IsZero reports whether the endpoint is the zero value, which no agent announces.
func (e Endpoint) IsZero() bool { return e.info == nil }

// EqualExceptLoad reports whether two endpoints are equal apart from their load.
func (e Endpoint) EqualExceptLoad(o Endpoint) bool {
	if e.info == o.info || e.info == nil || o.info == nil {
		return e.info == o.info && e.state == o.state
	}
	return *e.info == *o.info && e.state == o.state
}
