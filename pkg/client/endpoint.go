package client

import "encoding/json"

// Endpoint is the state of an endpoint as a control host reported it.
type Endpoint struct{ body EndpointBody }

// Name returns the name of the endpoint's worker, which identifies the endpoint.
func (e Endpoint) Name() string { return e.body.Name }

// AvailabilityZone returns the availability zone that the worker's agent announced.
func (e Endpoint) AvailabilityZone() string { return e.body.AvailabilityZone }

// Rack returns the rack that the worker's agent announced.
func (e Endpoint) Rack() string { return e.body.Rack }

// State returns ready, leaving (takes no new requests) or silent (does not answer).
func (e Endpoint) State() string { return e.body.State }

// Slots returns the maximum number of requests that the endpoint runs at the same time.
func (e Endpoint) Slots() int { return e.body.Slots }

// InFlight returns the number of requests that the endpoint was running at the time of the report.
func (e Endpoint) InFlight() int { return e.body.InFlight }

// Accelerators returns the total number of accelerators of the worker, free or not.
func (e Endpoint) Accelerators() int { return e.body.Accelerators }

// MarshalJSON encodes the fields that the control host sent.
func (e Endpoint) MarshalJSON() ([]byte, error) { return json.Marshal(e.body) }
