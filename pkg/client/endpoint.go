package client

import "encoding/json"

// Endpoint is an endpoint as a control host reported it.
type Endpoint struct{ body EndpointBody }

// Name returns the name of the endpoint's worker.
func (e Endpoint) Name() string { return e.body.Name }

// AvailabilityZone returns the availability zone of the worker.
func (e Endpoint) AvailabilityZone() string { return e.body.AvailabilityZone }

// Rack returns the rack of the worker.
func (e Endpoint) Rack() string { return e.body.Rack }

// State returns ready, leaving or silent.
func (e Endpoint) State() string { return e.body.State }

// Slots returns the number of requests that the endpoint runs at once.
func (e Endpoint) Slots() int { return e.body.Slots }

// InFlight returns the number of requests that run now.
func (e Endpoint) InFlight() int { return e.body.InFlight }

// Accelerators returns the number of accelerators of the worker.
func (e Endpoint) Accelerators() int { return e.body.Accelerators }

// MarshalJSON returns the endpoint as the control host sent it.
func (e Endpoint) MarshalJSON() ([]byte, error) { return json.Marshal(e.body) }
