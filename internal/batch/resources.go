package batch

// Resources are what a task asks for or a worker has.
type Resources struct {
	millicores   int
	memoryMB     int
	accelerators int
}

// NewResources returns resources in thousandths of a core, megabytes and accelerators.
func NewResources(millicores, memoryMB, accelerators int) Resources {
	return Resources{millicores: millicores, memoryMB: memoryMB, accelerators: accelerators}
}

// Millicores returns the processor share in thousandths of a core.
func (r Resources) Millicores() int { return r.millicores }

// MemoryMB returns the memory in megabytes.
func (r Resources) MemoryMB() int { return r.memoryMB }

// Accelerators returns the number of accelerators.
func (r Resources) Accelerators() int { return r.accelerators }

// Plus returns the sum of two resources.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.millicores + o.millicores, r.memoryMB + o.memoryMB, r.accelerators + o.accelerators}
}

// Minus returns what is left after o is taken; components may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.millicores - o.millicores, r.memoryMB - o.memoryMB, r.accelerators - o.accelerators}
}

// Fits reports whether r is available in free.
func (r Resources) Fits(free Resources) bool {
	return r.millicores <= free.millicores && r.memoryMB <= free.memoryMB && r.accelerators <= free.accelerators
}

// coresPerAccelerator is what one accelerator counts as in core-seconds of work.
const coresPerAccelerator = 8

// CoreEquivalents returns the resources as cores of work, an accelerator counting as eight.
func (r Resources) CoreEquivalents() float64 {
	return float64(r.millicores)/1000 + coresPerAccelerator*float64(r.accelerators)
}
