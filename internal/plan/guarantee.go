package plan

import (
	"maps"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// cell is the set of accelerators that is set apart for the guarantee of a workspace. It stays on the same workers
// as long as these are usable, because moving it turns running jobs of the workspace into borrowers.
type cell struct {
	guarantee workspace.Shape
	parts     []workerPart
}

// workerPart is a number of accelerators on a worker, identified by name so that it is valid across passes.
type workerPart struct {
	worker       string
	accelerators int
}

// updateCells assigns a cell on usable workers to each workspace with a guarantee and reports shortfalls.
func (p *pass) updateCells() {
	top := p.planner.top
	avail := top.idlePool(func(i int32) bool { return p.state.sites[i].usable })
	assigned := map[string][]sitePart{}
	var missing []workspace.Workspace
	for _, w := range p.view.workspaces {
		if parts := p.keepCell(avail, w); parts != nil {
			assigned[w.Name()] = parts
		} else if w.Guarantee().Members() > 0 {
			missing = append(missing, w)
		}
	}
	if len(missing) > 0 {
		// The cells change, so an existing claim may overlap the new cell of another workspace.
		maps.DeleteFunc(p.planner.holds, func(_ string, h hold) bool { return h.claim })
		added, failed := assignCells(avail, missing)
		if failed != "" {
			// Existing cells move only if all guarantees then fit completely.
			idle := top.idlePool(func(i int32) bool { return p.state.sites[i].usable })
			if moved, failed := assignCells(idle, p.view.workspaces); failed == "" {
				assigned, added = map[string][]sitePart{}, moved
			}
		}
		for name, parts := range added {
			assigned[name] = parts
		}
	}
	p.planner.cells = make(map[string]cell, len(assigned))
	for _, w := range p.view.workspaces {
		c := cell{guarantee: w.Guarantee()}
		for _, a := range assigned[w.Name()] {
			c.parts = append(c.parts, workerPart{top.sites[a.site].name, a.accelerators})
		}
		p.planner.cells[w.Name()] = c
		p.state.setCells(p.state.ownerIndex(w.Name()), assigned[w.Name()])
		if held := c.total(); held < w.Guarantee().Total() && !p.view.partial {
			p.decide(Shortfall{w.Name(), held, w.Guarantee()})
		}
	}
}

// total returns the number of accelerators of the cell.
func (c cell) total() (n int) {
	for _, a := range c.parts {
		n += a.accelerators
	}
	return n
}

// keepCell takes the workspace's cell of the previous pass off the pool and returns it. It returns nil if the cell
// no longer fits on usable workers or covers only a part of the guarantee.
func (p *pass) keepCell(avail *pool, w workspace.Workspace) []sitePart {
	old, ok := p.planner.cells[w.Name()]
	if !ok || old.guarantee != w.Guarantee() || len(old.parts) == 0 || old.total() < w.Guarantee().Total() {
		return nil
	}
	parts := make([]sitePart, 0, len(old.parts))
	for _, a := range old.parts {
		site, ok := p.planner.top.byName[a.worker]
		if !ok || avail.free[site] < a.accelerators {
			return nil
		}
		parts = append(parts, sitePart{site, a.accelerators})
	}
	for _, c := range parts {
		avail.set(c.site, avail.free[c.site]-c.accelerators)
	}
	return parts
}
