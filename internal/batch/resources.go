package batch

// Resources are the processor share, memory and accelerators that a task requests or a worker has.
type Resources struct {
	millicores   int
	memoryMB     int
	accelerators int
}

// NewResources returns resources given in thousandths of a core, megabytes and numbers of accelerators.
func NewResources(millicores, memoryMB, accelerators int) Resources {
	return Resources{millicores: millicores, memoryMB: memoryMB, accelerators: accelerators}
}

// Millicores returns the processor share in thousandths of a core.
func (r Resources) Millicores() int { return r.millicores }

// MemoryMB returns the memory in megabytes.
func (r Resources) MemoryMB() int { return r.memoryMB }

// Accelerators returns the number of whole accelerators.
func (r Resources) Accelerators() int { return r.accelerators }

// Plus returns the sum of r and o by component.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.millicores + o.millicores, r.memoryMB + o.memoryMB, r.accelerators + o.accelerators}
}

// Minus returns the difference of r and o by component; components may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.millicores - o.millicores, r.memoryMB - o.memoryMB, r.accelerators - o.accelerators}
}

// Fits reports whether no component of r exceeds that of free.
func (r Resources) Fits(free Resources) bool {
	return r.millicores <= free.millicores && r.memoryMB <= free.memoryMB && r.accelerators <= free.accelerators
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.millicores * n, r.memoryMB * n, r.accelerators * n}
}

// Holds returns how many times needs fits into r, at most limit.
func (r Resources) Holds(needs Resources, limit int) int {
	if !needs.Fits(r) {
		return 0
	}
	count := limit
	for _, c := range [][2]int{{r.millicores, needs.millicores}, {r.memoryMB, needs.memoryMB}, {r.accelerators, needs.accelerators}} {
		if c[1] > 0 {
			count = min(count, c[0]/c[1])
		}
	}
	return count
}

// coresPerAccelerator is the number of cores that one accelerator counts as when work is summed in core-seconds.
const coresPerAccelerator = 8

// CoreEquivalents returns the resources as a number of cores, in which an accelerator counts as eight.
func (r Resources) CoreEquivalents() float64 {
	return float64(r.millicores)/1000 + coresPerAccelerator*float64(r.accelerators)
}
