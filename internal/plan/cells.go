package plan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// cellSearchLimit bounds the placements that the search for cells tries before it stops. Guarantees of 12
// workspaces that fill four availability zones need fewer than 1,000 tries.
const cellSearchLimit = 20000

// CheckGuarantees returns an error if the guaranteed shapes of all workspaces cannot be placed on the workers at
// once. The search is bounded, so in rare cases it reports an error for guarantees that a longer search could place.
func CheckGuarantees(workers []fleet.Worker, workspaces []workspace.Workspace) (err error) {
	top := newTopology(workers)
	idle := top.idlePool(func(int32) bool { return true })
	var unplaceable []string
	for _, w := range workspaces {
		if w.Guarantee().Members() > 0 && idle.find(w.Guarantee()) == nil {
			unplaceable = append(unplaceable, fmt.Sprintf("%s (%s)", w.Name(), w.Guarantee()))
		}
	}
	if len(unplaceable) > 0 {
		return fmt.Errorf("guarantees: no place on the idle fleet for %s", strings.Join(unplaceable, ", "))
	}
	if _, failed := assignCells(idle, workspaces); failed != "" {
		return fmt.Errorf("guarantees: the shapes of all workspaces do not fit at once, %s is left without a place", failed)
	}
	return nil
}

// assignCells places all guaranteed shapes at once, the least flexible ones first. If that fails, it returns the
// cells of a best-effort assignment and the name of the first workspace that the search could not place.
func assignCells(p *pool, workspaces []workspace.Workspace) (cells map[string][]sitePart, failed string) {
	sorted := slices.DeleteFunc(slices.Clone(workspaces), func(w workspace.Workspace) bool {
		return w.Guarantee().Members() == 0
	})
	slices.SortStableFunc(sorted, func(a, b workspace.Workspace) int {
		x, y := a.Guarantee(), b.Guarantee()
		return cmp.Or(cmp.Compare(adjacencyRank(x), adjacencyRank(y)), cmp.Compare(y.Accelerators(), x.Accelerators()),
			cmp.Compare(y.Total(), x.Total()), cmp.Compare(a.Name(), b.Name()))
	})
	c := cellSearch{pool: p, workspaces: sorted, placements: make([][]int32, len(sorted)), triesLeft: cellSearchLimit}
	done := c.place(0)
	if !done {
		failed = sorted[c.deepest].Name()
		c.placeGreedily()
	}
	cells = make(map[string][]sitePart, len(sorted))
	for i, w := range sorted {
		cells[w.Name()] = partsOf(c.placements[i], w.Guarantee())
	}
	return cells, failed
}

// adjacencyRank orders shapes by adjacency, from one worker (0), the least flexible, to the whole fleet (3).
func adjacencyRank(s workspace.Shape) int {
	switch {
	case s.Members() == 1 || s.Adjacency() == workspace.SameWorker:
		return 0
	case s.Adjacency() == workspace.SameRack:
		return 1
	case s.Adjacency() == workspace.SameZone:
		return 2
	default:
		return 3
	}
}

// partsOf groups the sites of the members by site.
func partsOf(sites []int32, s workspace.Shape) (parts []sitePart) {
	bySite := map[int32]int{}
	for _, site := range sites {
		if i, ok := bySite[site]; ok {
			parts[i].accelerators += s.Accelerators()
			continue
		}
		bySite[site] = len(parts)
		parts = append(parts, sitePart{site: site, accelerators: s.Accelerators()})
	}
	return parts
}

// cellSearch is a bounded depth-first search for placements of all guaranteed shapes.
type cellSearch struct {
	pool       *pool
	workspaces []workspace.Workspace
	placements [][]int32
	triesLeft  int
	deepest    int
}

// place places the shapes of the workspaces from index i on and reports whether all of them fit.
func (c *cellSearch) place(i int) bool {
	if i == len(c.workspaces) {
		return true
	}
	c.deepest = max(c.deepest, i)
	shape := c.workspaces[i].Guarantee()
	for _, sites := range c.candidates(shape) {
		if c.triesLeft--; c.triesLeft < 0 {
			return false
		}
		c.adjustFree(sites, shape, -1)
		c.placements[i] = sites
		if c.place(i + 1) {
			return true
		}
		c.adjustFree(sites, shape, 1)
		c.placements[i] = nil
	}
	return false
}

// placeGreedily places as many complete shapes as fit, each where pool.find puts it, and then as many members as fit
// of each remaining shape.
func (c *cellSearch) placeGreedily() {
	for i, w := range c.workspaces {
		if c.placements[i] = c.pool.find(w.Guarantee()); c.placements[i] != nil {
			c.adjustFree(c.placements[i], w.Guarantee(), -1)
		}
	}
	for i, w := range c.workspaces {
		s := w.Guarantee()
		for n := s.Members() - 1; n > 0 && c.placements[i] == nil; n-- {
			part, err := workspace.NewShape(n, s.Accelerators(), s.Adjacency())
			if err != nil {
				break
			}
			if c.placements[i] = c.pool.find(part); c.placements[i] != nil {
				c.adjustFree(c.placements[i], s, -1)
			}
		}
	}
}

// adjustFree adds the accelerators of the members to the free count of their sites, or subtracts them if sign is -1.
func (c *cellSearch) adjustFree(sites []int32, s workspace.Shape, sign int) {
	for _, site := range sites {
		c.pool.set(site, c.pool.free[site]+sign*s.Accelerators())
	}
}

// candidates returns one placement per distinct kind of domain, the one that leaves the least free capacity first.
// Domains with equal free counts are of the same kind, because exchanging them makes no difference to the shapes
// placed later.
func (c *cellSearch) candidates(s workspace.Shape) (all [][]int32) {
	p := c.pool
	switch adjacencyRank(s) {
	case 0:
		seen := map[string]bool{}
		for f := s.Total(); f < len(p.fleetCounts); f++ {
			for r := range p.racks {
				b := p.racks[r].buckets[f]
				if len(b) > 0 && !seen[p.rackSignature(r, f)] {
					seen[p.rackSignature(r, f)] = true
					all = append(all, slices.Repeat(b[:1:1], s.Members()))
				}
			}
		}
		return all
	case 1:
		return c.domains(s, len(p.racks), func(i int) []int32 { return p.top.allRacks[i : i+1] },
			func(i int) string { return p.rackSignature(i, 0) })
	case 2:
		return c.domains(s, len(p.zoneCounts), func(i int) []int32 { return p.top.zoneRacks[i] },
			func(i int) string { return fmt.Sprint(p.zoneCounts[i], i) })
	default:
		return c.domains(s, 1, func(int) []int32 { return p.top.allRacks }, func(int) string { return "" })
	}
}

// domains returns one placement for each kind among count domains, where racks returns the racks of a domain and
// kind a string that is equal for domains of the same kind.
func (c *cellSearch) domains(s workspace.Shape, count int, racks func(int) []int32, kind func(int) string) (all [][]int32) {
	type option struct {
		sites []int32
		spare int
	}
	var options []option
	seen := map[string]bool{}
	for i := range count {
		spare := -s.Members()
		for _, r := range racks(i) {
			spare += c.pool.racks[r].slots(s.Accelerators())
		}
		if k := kind(i); spare >= 0 && !seen[k] {
			seen[k] = true
			options = append(options, option{c.pool.take(racks(i), s.Members(), s.Accelerators()), spare})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.spare, b.spare) })
	for _, o := range options {
		all = append(all, o.sites)
	}
	return all
}

// rackSignature returns equal strings for racks of one availability zone with equal free counts and equal extra.
func (p *pool) rackSignature(r, extra int) string {
	counts := make([]int, 0, len(p.fleetCounts)+2)
	for _, b := range p.racks[r].buckets {
		counts = append(counts, len(b))
	}
	return fmt.Sprint(counts, p.top.rackZone[r], extra)
}
