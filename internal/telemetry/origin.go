package telemetry

// Origin names the process that logs and traces come from.
type Origin struct {
	role     string
	instance string
	zone     string
}

// NewOrigin returns the origin of a process by role, instance name and availability zone.
func NewOrigin(role, instance, zone string) Origin {
	return Origin{role: role, instance: instance, zone: zone}
}

// Role returns the role of the process.
func (o Origin) Role() string { return o.role }

// Instance returns the name that is unique in the role.
func (o Origin) Instance() string { return o.instance }

// AvailabilityZone returns the availability zone of the process.
func (o Origin) AvailabilityZone() string { return o.zone }
