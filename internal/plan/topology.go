package plan

import (
	"cmp"
	"slices"

	"rosemarywind.example/rosemarywind/internal/fleet"
)

// topology is the arrangement of workers by rack and availability zone.
type topology struct {
	source    []fleet.Worker
	sites     []site
	byName    map[string]int32
	rackZone  []int32
	rackFirst []int32
	zoneRacks [][]int32
	allRacks  []int32
	rackNames []string
	zoneNames []string
	largest   int
}

// site is where a worker stands.
type site struct {
	name       string
	zone, rack int32
	capacity   int
}

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

// rackSites returns the range of the rack's sites, which are sorted by rack.
func (t *topology) rackSites(rack int32) (first, end int32) {
	first = t.rackFirst[rack]
	if int(rack)+1 < len(t.rackFirst) {
		return first, t.rackFirst[rack+1]
	}
	return first, int32(len(t.sites))
}

// idle returns a pool in which every accelerator of the given sites is free.
func (t *topology) idle(include func(site int32) bool) *pool {
	p := newPool(t)
	for i := range t.sites {
		if include(int32(i)) {
			p.set(int32(i), t.sites[i].capacity)
		}
	}
	return p
}
