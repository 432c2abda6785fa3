package fleet

// AvailabilityZone names a group of racks that fail together.
type AvailabilityZone string

// Region names a group of availability zones that can lose contact with others.
type Region string

// Rack names a group of workers that share power and a switch.
type Rack string

// Worker is a host that runs tasks; it is immutable.
type Worker struct {
	name         string
	region       Region
	zone         AvailabilityZone
	rack         Rack
	cores        int
	memoryMB     int
	accelerators int
}

// NewWorker returns a worker at the given place with no resources.
func NewWorker(name string, region Region, zone AvailabilityZone, rack Rack) Worker {
	return Worker{name: name, region: region, zone: zone, rack: rack}
}

// WithResources returns the worker with cores, memory in MB and accelerators.
func (w Worker) WithResources(cores, memoryMB, accelerators int) Worker {
	w.cores, w.memoryMB, w.accelerators = cores, memoryMB, accelerators
	return w
}

// Name returns the name that is unique in the fleet.
func (w Worker) Name() string { return w.name }

// Region returns the region of the worker.
func (w Worker) Region() Region { return w.region }

// AvailabilityZone returns the availability zone of the worker.
func (w Worker) AvailabilityZone() AvailabilityZone { return w.zone }

// Rack returns the rack of the worker.
func (w Worker) Rack() Rack { return w.rack }

// Cores returns the number of processor cores.
func (w Worker) Cores() int { return w.cores }

// MemoryMB returns the memory in megabytes.
func (w Worker) MemoryMB() int { return w.memoryMB }

// Accelerators returns the number of accelerators.
func (w Worker) Accelerators() int { return w.accelerators }
