package plan

import (
	"cmp"
	"slices"

	"rosemarywind.example/rosemarywind/internal/fleet"
)

// topology indexes the workers by availability zone, rack and name. Sites and racks are numbered in this order.
type topology struct {
	source    []fleet.Worker // the workers it was built from, unsorted
	sites     []site
	byName    map[string]int32
	rackZone  []int32
	rackFirst []int32 // first site of each rack
	zoneRacks [][]int32
	allRacks  []int32
	rackNames []string
	zoneNames []string
	largest   int // most accelerators of any worker
}

// site is a worker of the topology. Elsewhere in the package, sites are referred to by their index.
type site struct {
	name       string
	zone, rack int32
	capacity   int
}

// newTopology returns the topology of the workers.
func newTopology(workers []fleet.Worker) *topology {
	type rackKey struct {
		zone fleet.AvailabilityZone
		rack fleet.Rack
	}
	t := &topology{source: workers, byName: make(map[string]int32, len(workers)), sites: make([]site, 0, len(workers))}
	zones, racks := map[fleet.AvailabilityZone]int32{}, map[rackKey]int32{}
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b fleet.Worker) int {
		return cmp.Or(cmp.Compare(a.AvailabilityZone(), b.AvailabilityZone()),
			cmp.Compare(a.Rack(), b.Rack()), cmp.Compare(a.Name(), b.Name()))
	})
	for _, w := range sorted {
		z, ok := zones[w.AvailabilityZone()]
		if !ok {
			z = int32(len(t.zoneRacks))
			zones[w.AvailabilityZone()] = z
			t.zoneRacks = append(t.zoneRacks, nil)
			t.zoneNames = append(t.zoneNames, string(w.AvailabilityZone()))
		}
		key := rackKey{w.AvailabilityZone(), w.Rack()}
		r, ok := racks[key]
		if !ok {
			r = int32(len(t.rackZone))
			racks[key] = r
			t.rackZone = append(t.rackZone, z)
			t.rackFirst = append(t.rackFirst, int32(len(t.sites)))
			t.rackNames = append(t.rackNames, string(w.Rack()))
			t.zoneRacks[z] = append(t.zoneRacks[z], r)
			t.allRacks = append(t.allRacks, r)
		}
		t.byName[w.Name()] = int32(len(t.sites))
		t.sites = append(t.sites, site{name: w.Name(), zone: z, rack: r, capacity: w.Accelerators()})
		t.largest = max(t.largest, w.Accelerators())
	}
	return t
}

// rackSites returns the range of the rack's sites, with end excluded.
func (t *topology) rackSites(rack int32) (first, end int32) {
	first = t.rackFirst[rack]
	if int(rack)+1 < len(t.rackFirst) {
		return first, t.rackFirst[rack+1]
	}
	return first, int32(len(t.sites))
}

// idlePool returns a pool in which all accelerators of the included sites are free and no others.
func (t *topology) idlePool(include func(site int32) bool) *pool {
	p := newPool(t)
	for i := range t.sites {
		if include(int32(i)) {
			p.set(int32(i), t.sites[i].capacity)
		}
	}
	return p
}
