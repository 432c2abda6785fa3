package fleet

// AvailabilityZone is the name of a group of racks that may fail together.
type AvailabilityZone string

// Region is the name of a group of availability zones that a network partition may separate from other regions.
type Region string

// Rack is the name of a group of workers that share a power supply and a switch.
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

// NewWorker returns a worker at the given location without resources.
func NewWorker(name string, region Region, zone AvailabilityZone, rack Rack) Worker {
	return Worker{name: name, region: region, zone: zone, rack: rack}
}

// WithResources returns a copy with processor cores, memory in megabytes and accelerators.
func (w Worker) WithResources(cores, memoryMB, accelerators int) Worker {
	w.cores, w.memoryMB, w.accelerators = cores, memoryMB, accelerators
	return w
}

// Name returns the name, which is unique in the fleet.
func (w Worker) Name() string { return w.name }

// Region returns the name of the region that the worker is in.
func (w Worker) Region() Region { return w.region }

// AvailabilityZone returns the name of the availability zone that the worker is in.
func (w Worker) AvailabilityZone() AvailabilityZone { return w.zone }

// Rack returns the name of the rack that the worker is in.
func (w Worker) Rack() Rack { return w.rack }

// Cores returns the number of processor cores, 0 if none were announced.
func (w Worker) Cores() int { return w.cores }

// MemoryMB returns the memory in megabytes, 0 if none was announced.
func (w Worker) MemoryMB() int { return w.memoryMB }

// Accelerators returns the number of accelerators, 0 for a worker without any.
func (w Worker) Accelerators() int { return w.accelerators }
