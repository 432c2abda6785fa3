package telemetry

// Origin identifies the process that emits logs and traces.
type Origin struct {
	role     string
	instance string
	zone     string
}

// NewOrigin returns an origin; instance is unique in the role.
func NewOrigin(role, instance, zone string) Origin {
	return Origin{role: role, instance: instance, zone: zone}
}

// Role returns the role of the process, such as entry or operator.
func (o Origin) Role() string { return o.role }

// Instance returns the name of the process, which is unique in its role.
func (o Origin) Instance() string { return o.instance }

// AvailabilityZone returns the availability zone in which the process runs; it is empty for operator commands.
func (o Origin) AvailabilityZone() string { return o.zone }
