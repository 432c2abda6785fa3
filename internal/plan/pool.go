package plan

import (
	"cmp"
	"slices"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// pool indexes the accelerators that a search may use by availability zone, rack and free count, so that a search
// visits racks instead of workers.
type pool struct {
	top         *topology
	free        []int   // by site
	bucketIndex []int32 // position of each site in its bucket
	racks       []rackPool
	zoneCounts  [][]int32 // number of sites by availability zone and free count
	fleetCounts []int32   // number of sites by free count
}

// rackPool indexes the sites of one rack.
type rackPool struct {
	buckets [][]int32 // sites by free count
	free    int       // sum of the free counts
}

// newPool returns a pool in which no accelerator is free.
func newPool(top *topology) *pool {
	p := &pool{
		top: top, free: make([]int, len(top.sites)), bucketIndex: make([]int32, len(top.sites)),
		racks: make([]rackPool, len(top.rackZone)), zoneCounts: make([][]int32, len(top.zoneRacks)),
		fleetCounts: make([]int32, top.largest+1),
	}
	for i := range p.racks {
		p.racks[i].buckets = make([][]int32, top.largest+1)
	}
	for i := range p.zoneCounts {
		p.zoneCounts[i] = make([]int32, top.largest+1)
	}
	for i := range top.sites {
		p.insert(int32(i), 0)
	}
	return p
}

func (p *pool) insert(site int32, free int) {
	s := &p.top.sites[site]
	r := &p.racks[s.rack]
	p.free[site], p.bucketIndex[site] = free, int32(len(r.buckets[free]))
	r.buckets[free] = append(r.buckets[free], site)
	r.free += free
	p.zoneCounts[s.zone][free]++
	p.fleetCounts[free]++
}

func (p *pool) remove(site int32) {
	s := &p.top.sites[site]
	free, r := p.free[site], &p.racks[s.rack]
	b := r.buckets[free]
	last := b[len(b)-1]
	b[p.bucketIndex[site]] = last
	p.bucketIndex[last] = p.bucketIndex[site]
	r.buckets[free] = b[:len(b)-1]
	r.free -= free
	p.zoneCounts[s.zone][free]--
	p.fleetCounts[free]--
}

// set changes the free count of a site in constant time.
func (p *pool) set(site int32, free int) {
	if p.free[site] != free {
		p.remove(site)
		p.insert(site, free)
	}
}

// slots returns how many members of the given size fit on the sites, where counts[f] sites have f free accelerators.
func slots(counts []int32, size int) (n int) {
	for f := size; f < len(counts); f++ {
		n += int(counts[f]) * (f / size)
	}
	return n
}

// slots returns how many members of the given size fit in the rack.
func (r *rackPool) slots(size int) (n int) {
	for f := size; f < len(r.buckets); f++ {
		n += len(r.buckets[f]) * (f / size)
	}
	return n
}

// find returns the site of each member, or nil if the shape does not fit. It does not change the pool.
func (p *pool) find(s workspace.Shape) []int32 {
	switch {
	case s.Adjacency() == workspace.SameWorker || s.Members() == 1:
		site, ok := p.bestSite(s.Total(), len(p.fleetCounts))
		if !ok {
			return nil
		}
		return slices.Repeat([]int32{site}, s.Members())
	case s.Adjacency() == workspace.SameRack:
		rack, ok := p.bestRack(s.Members(), s.Accelerators())
		if !ok {
			return nil
		}
		return p.take([]int32{rack}, s.Members(), s.Accelerators())
	case s.Adjacency() == workspace.SameZone:
		zone, ok := p.bestZone(s.Members(), s.Accelerators())
		if !ok {
			return nil
		}
		return p.take(p.top.zoneRacks[zone], s.Members(), s.Accelerators())
	case slots(p.fleetCounts, s.Accelerators()) < s.Members():
		return nil
	default:
		return p.take(p.top.allRacks, s.Members(), s.Accelerators())
	}
}

// findInUse returns a site for a shape smaller than a worker on a worker that is already in use, so that idle
// workers remain available to larger shapes.
func (p *pool) findInUse(s workspace.Shape) []int32 {
	if adjacencyRank(s) > 0 || s.Total() >= p.top.largest {
		return nil
	}
	site, ok := p.bestSite(s.Total(), p.top.largest)
	if !ok {
		return nil
	}
	return slices.Repeat([]int32{site}, s.Members())
}

// bestSite returns the site with the smallest free count in the range from size to below-1. Among equal counts it
// prefers the rack with the fewest free accelerators.
func (p *pool) bestSite(size, below int) (site int32, ok bool) {
	for f := size; f < below; f++ {
		if p.fleetCounts[f] == 0 {
			continue
		}
		best := int32(-1)
		for i := range p.racks {
			r := &p.racks[i]
			if len(r.buckets[f]) > 0 && (best < 0 || r.free < p.racks[best].free) {
				best = int32(i)
			}
		}
		return p.racks[best].buckets[f][0], true
	}
	return 0, false
}

// bestRack returns the rack in which the members leave the least free capacity.
func (p *pool) bestRack(members, size int) (rack int32, ok bool) {
	if slots(p.fleetCounts, size) < members {
		return 0, false
	}
	least := 0
	for i := range p.racks {
		if p.racks[i].free < members*size {
			continue
		}
		n := p.racks[i].slots(size)
		if n < members {
			continue
		}
		if left := n*1024 + p.racks[i].free; !ok || left < least {
			rack, least, ok = int32(i), left, true
		}
	}
	return rack, ok
}

// bestZone returns the availability zone that fits the fewest members beyond those of the shape.
func (p *pool) bestZone(members, size int) (zone int32, ok bool) {
	least := 0
	for i := range p.zoneCounts {
		n := slots(p.zoneCounts[i], size)
		if n >= members && (!ok || n < least) {
			zone, least, ok = int32(i), n, true
		}
	}
	return zone, ok
}

// take returns the sites of the members in the racks, or nil if they do not fit. It prefers sites with few free
// accelerators, and among those racks with few.
func (p *pool) take(racks []int32, members, size int) []int32 {
	if found := p.takeUpTo(racks, members, size); len(found) == members {
		return found
	}
	return nil
}

// takeUpTo is like take, but returns the sites of as many members as fit.
func (p *pool) takeUpTo(racks []int32, members, size int) []int32 {
	if len(racks) > 1 {
		racks = slices.Clone(racks)
		slices.SortFunc(racks, func(a, b int32) int {
			return cmp.Or(cmp.Compare(p.racks[a].free, p.racks[b].free), cmp.Compare(a, b))
		})
	}
	found := make([]int32, 0, members)
	for f := size; f < len(p.fleetCounts); f++ {
		for _, r := range racks {
			for _, site := range p.racks[r].buckets[f] {
				for range f / size {
					if found = append(found, site); len(found) == members {
						return found
					}
				}
			}
		}
	}
	return found
}
