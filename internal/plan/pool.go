package plan

import (
	"cmp"
	"slices"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// pool indexes the accelerators that may be given away, by availability zone, rack and free count,
// so that a search visits racks and not workers.
type pool struct {
	top   *topology
	level []int
	slot  []int32
	racks []rackPool
	zones [][]int32
	fleet []int32
}

type rackPool struct {
	buckets [][]int32
	free    int
}

func newPool(top *topology) *pool {
	p := &pool{
		top: top, level: make([]int, len(top.sites)), slot: make([]int32, len(top.sites)),
		racks: make([]rackPool, len(top.rackZone)), zones: make([][]int32, len(top.zoneRacks)),
		fleet: make([]int32, top.largest+1),
	}
	for i := range p.racks {
		p.racks[i].buckets = make([][]int32, top.largest+1)
	}
	for i := range p.zones {
		p.zones[i] = make([]int32, top.largest+1)
	}
	for i := range top.sites {
		p.insert(int32(i), 0)
	}
	return p
}

func (p *pool) insert(site int32, level int) {
	s := &p.top.sites[site]
	r := &p.racks[s.rack]
	p.level[site], p.slot[site] = level, int32(len(r.buckets[level]))
	r.buckets[level] = append(r.buckets[level], site)
	r.free += level
	p.zones[s.zone][level]++
	p.fleet[level]++
}

func (p *pool) remove(site int32) {
	s := &p.top.sites[site]
	level, r := p.level[site], &p.racks[s.rack]
	b := r.buckets[level]
	last := b[len(b)-1]
	b[p.slot[site]] = last
	p.slot[last] = p.slot[site]
	r.buckets[level] = b[:len(b)-1]
	r.free -= level
	p.zones[s.zone][level]--
	p.fleet[level]--
}

// set changes the free count of a site in constant time.
func (p *pool) set(site int32, level int) {
	if p.level[site] != level {
		p.remove(site)
		p.insert(site, level)
	}
}

// slots returns how many members of the given size fit into sites that are counted by free count.
func slots(counts []int32, size int) (n int) {
	for f := size; f < len(counts); f++ {
		n += int(counts[f]) * (f / size)
	}
	return n
}

func (r *rackPool) slots(size int) (n int) {
	for f := size; f < len(r.buckets); f++ {
		n += len(r.buckets[f]) * (f / size)
	}
	return n
}

// find returns the site of each member, nil when the shape does not fit; it leaves the pool as it is.
func (p *pool) find(s workspace.Shape) []int32 {
	switch {
	case s.Adjacency() == workspace.SameWorker || s.Members() == 1:
		site, ok := p.bestSite(s.Total(), len(p.fleet))
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
	case slots(p.fleet, s.Accelerators()) < s.Members():
		return nil
	default:
		return p.take(p.top.allRacks, s.Members(), s.Accelerators())
	}
}

// findBroken returns a site for a small shape on a worker that is in use already, so that whole workers stay free.
func (p *pool) findBroken(s workspace.Shape) []int32 {
	if reach(s) > 0 || s.Total() >= p.top.largest {
		return nil
	}
	site, ok := p.bestSite(s.Total(), p.top.largest)
	if !ok {
		return nil
	}
	return slices.Repeat([]int32{site}, s.Members())
}

// bestSite returns the site with the fewest free accelerators that suffice and fewer than the bound, in the rack with the fewest free ones.
func (p *pool) bestSite(size, below int) (site int32, ok bool) {
	for f := size; f < below; f++ {
		if p.fleet[f] == 0 {
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

// bestRack returns the rack that the members leave the least room in.
func (p *pool) bestRack(members, size int) (rack int32, ok bool) {
	if slots(p.fleet, size) < members {
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

func (p *pool) bestZone(members, size int) (zone int32, ok bool) {
	least := 0
	for i := range p.zones {
		n := slots(p.zones[i], size)
		if n >= members && (!ok || n < least) {
			zone, least, ok = int32(i), n, true
		}
	}
	return zone, ok
}

// take fills the sites with the fewest free accelerators first, and among those the racks with the fewest.
func (p *pool) take(racks []int32, members, size int) []int32 {
	if found := p.takeSome(racks, members, size); len(found) == members {
		return found
	}
	return nil
}

// takeSome is take for as many members as fit.
func (p *pool) takeSome(racks []int32, members, size int) []int32 {
	if len(racks) > 1 {
		racks = slices.Clone(racks)
		slices.SortFunc(racks, func(a, b int32) int {
			return cmp.Or(cmp.Compare(p.racks[a].free, p.racks[b].free), cmp.Compare(a, b))
		})
	}
	found := make([]int32, 0, members)
	for f := size; f < len(p.fleet); f++ {
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
