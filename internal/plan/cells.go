package plan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// cellSearchLimit bounds the placements that the search for cells tries before it gives up;
// 12 workspaces that fill four availability zones needed fewer than 1,000.
const cellSearchLimit = 20000

// CheckGuarantees fails when the guaranteed shapes cannot all be placed at once on the workers.
// It searches for adjacent places and gives up after a bounded number of tries, so a refusal
// may in rare cases concern a set that a longer search could place.
func CheckGuarantees(workers []fleet.Worker, workspaces []workspace.Workspace) (err error) {
	top := newTopology(workers)
	idle := top.idle(func(int32) bool { return true })
	var alone []string
	for _, w := range workspaces {
		if w.Guarantee().Members() > 0 && idle.find(w.Guarantee()) == nil {
			alone = append(alone, fmt.Sprintf("%s (%s)", w.Name(), w.Guarantee()))
		}
	}
	if len(alone) > 0 {
		return fmt.Errorf("guarantees: no place on the idle fleet for %s", strings.Join(alone, ", "))
	}
	if _, failed := assignCells(idle, workspaces); failed != "" {
		return fmt.Errorf("guarantees: the shapes of all workspaces do not fit at once, %s is left without a place", failed)
	}
	return nil
}

// assignCells places all guaranteed shapes at once, the least flexible ones first.
// When that fails it returns the cells of a best effort and the workspace that got no place.
func assignCells(p *pool, workspaces []workspace.Workspace) (cells map[string][]cellPart, failed string) {
	sorted := slices.DeleteFunc(slices.Clone(workspaces), func(w workspace.Workspace) bool {
		return w.Guarantee().Members() == 0
	})
	slices.SortStableFunc(sorted, func(a, b workspace.Workspace) int {
		x, y := a.Guarantee(), b.Guarantee()
		return cmp.Or(cmp.Compare(reach(x), reach(y)), cmp.Compare(y.Accelerators(), x.Accelerators()),
			cmp.Compare(y.Total(), x.Total()), cmp.Compare(a.Name(), b.Name()))
	})
	c := cellSearch{pool: p, workspaces: sorted, chosen: make([][]int32, len(sorted)), tries: cellSearchLimit}
	done := c.place(0)
	if !done {
		failed = sorted[c.deepest].Name()
		c.greedy()
	}
	cells = make(map[string][]cellPart, len(sorted))
	for i, w := range sorted {
		cells[w.Name()] = partsOf(c.chosen[i], w.Guarantee())
	}
	return cells, failed
}

// reach orders adjacencies from the least to the most flexible.
func reach(s workspace.Shape) int {
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

func partsOf(sites []int32, s workspace.Shape) (parts []cellPart) {
	bySite := map[int32]int{}
	for _, site := range sites {
		if i, ok := bySite[site]; ok {
			parts[i].accelerators += s.Accelerators()
			continue
		}
		bySite[site] = len(parts)
		parts = append(parts, cellPart{site: site, accelerators: s.Accelerators()})
	}
	return parts
}

// cellSearch is a depth-first search with a bounded number of tries.
type cellSearch struct {
	pool       *pool
	workspaces []workspace.Workspace
	chosen     [][]int32
	tries      int
	deepest    int
}

func (c *cellSearch) place(i int) bool {
	if i == len(c.workspaces) {
		return true
	}
	c.deepest = max(c.deepest, i)
	shape := c.workspaces[i].Guarantee()
	for _, sites := range c.candidates(shape) {
		if c.tries--; c.tries < 0 {
			return false
		}
		c.shift(sites, shape, -1)
		c.chosen[i] = sites
		if c.place(i + 1) {
			return true
		}
		c.shift(sites, shape, 1)
		c.chosen[i] = nil
	}
	return false
}

// greedy places as many whole shapes as it can, each where it fits best, and then as many members as it can of the rest.
func (c *cellSearch) greedy() {
	for i, w := range c.workspaces {
		if c.chosen[i] = c.pool.find(w.Guarantee()); c.chosen[i] != nil {
			c.shift(c.chosen[i], w.Guarantee(), -1)
		}
	}
	for i, w := range c.workspaces {
		s := w.Guarantee()
		for n := s.Members() - 1; n > 0 && c.chosen[i] == nil; n-- {
			part, err := workspace.NewShape(n, s.Accelerators(), s.Adjacency())
			if err != nil {
				break
			}
			if c.chosen[i] = c.pool.find(part); c.chosen[i] != nil {
				c.shift(c.chosen[i], s, -1)
			}
		}
	}
}

func (c *cellSearch) shift(sites []int32, s workspace.Shape, sign int) {
	for _, site := range sites {
		c.pool.set(site, c.pool.level[site]+sign*s.Accelerators())
	}
}

// candidates returns one placement per kind of domain, the tightest first; domains with equal
// free counts are of one kind, because exchanging them changes nothing for later shapes.
func (c *cellSearch) candidates(s workspace.Shape) (all [][]int32) {
	p := c.pool
	switch reach(s) {
	case 0:
		seen := map[string]bool{}
		for f := s.Total(); f < len(p.fleet); f++ {
			for r := range p.racks {
				b := p.racks[r].buckets[f]
				if len(b) > 0 && !seen[p.rackKind(r, f)] {
					seen[p.rackKind(r, f)] = true
					all = append(all, slices.Repeat(b[:1:1], s.Members()))
				}
			}
		}
		return all
	case 1:
		return c.domains(s, len(p.racks), func(i int) []int32 { return p.top.allRacks[i : i+1] },
			func(i int) string { return p.rackKind(i, 0) })
	case 2:
		return c.domains(s, len(p.zones), func(i int) []int32 { return p.top.zoneRacks[i] },
			func(i int) string { return fmt.Sprint(p.zones[i], i) })
	default:
		return c.domains(s, 1, func(int) []int32 { return p.top.allRacks }, func(int) string { return "" })
	}
}

func (c *cellSearch) domains(s workspace.Shape, count int, racks func(int) []int32, kind func(int) string) (all [][]int32) {
	type option struct {
		sites []int32
		left  int
	}
	var options []option
	seen := map[string]bool{}
	for i := range count {
		left := -s.Members()
		for _, r := range racks(i) {
			left += c.pool.racks[r].slots(s.Accelerators())
		}
		if k := kind(i); left >= 0 && !seen[k] {
			seen[k] = true
			options = append(options, option{c.pool.take(racks(i), s.Members(), s.Accelerators()), left})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.left, b.left) })
	for _, o := range options {
		all = append(all, o.sites)
	}
	return all
}

// rackKind returns equal strings for racks of one availability zone with equal free counts.
func (p *pool) rackKind(r, extra int) string {
	counts := make([]int, 0, len(p.fleet)+2)
	for _, b := range p.racks[r].buckets {
		counts = append(counts, len(b))
	}
	return fmt.Sprint(counts, p.top.rackZone[r], extra)
}
