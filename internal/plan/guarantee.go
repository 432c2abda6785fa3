package plan

import (
	"maps"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// cell is where a guaranteed shape is set apart; it is kept while its workers stay usable,
// because moving it turns jobs of its workspace into borrowers.
type cell struct {
	guarantee workspace.Shape
	parts     []cellAt
}

type cellAt struct {
	worker       string
	accelerators int
}

// settleCells gives each workspace a cell on usable workers.
func (p *pass) settleCells() {
	top := p.planner.top
	free := top.idle(func(i int32) bool { return p.state.sites[i].usable })
	chosen := map[string][]cellPart{}
	var missing []workspace.Workspace
	for _, w := range p.view.workspaces {
		if parts := p.keep(free, w); parts != nil {
			chosen[w.Name()] = parts
		} else if w.Guarantee().Members() > 0 {
			missing = append(missing, w)
		}
	}
	if len(missing) > 0 {
		// A claim made under other cells may lie in what is now another workspace's cell.
		maps.DeleteFunc(p.planner.holds, func(_ string, h hold) bool { return h.claim })
		added, failed := assignCells(free, missing)
		if failed != "" {
			// Cells move only when that makes all guarantees whole; otherwise each keeps what it has.
			idle := top.idle(func(i int32) bool { return p.state.sites[i].usable })
			if moved, failed := assignCells(idle, p.view.workspaces); failed == "" {
				chosen, added = map[string][]cellPart{}, moved
			}
		}
		for name, parts := range added {
			chosen[name] = parts
		}
	}
	p.planner.cells = make(map[string]cell, len(chosen))
	for _, w := range p.view.workspaces {
		c := cell{guarantee: w.Guarantee()}
		for _, a := range chosen[w.Name()] {
			c.parts = append(c.parts, cellAt{top.sites[a.site].name, a.accelerators})
		}
		p.planner.cells[w.Name()] = c
		p.state.setCells(p.state.owner(w.Name()), chosen[w.Name()])
		if held := c.total(); held < w.Guarantee().Total() && !p.view.partial {
			p.decide(Shortfall{w.Name(), held, w.Guarantee()})
		}
	}
}

func (c cell) total() (n int) {
	for _, a := range c.parts {
		n += a.accelerators
	}
	return n
}

// keep returns the workspace's cell of the previous pass and takes it off the pool, nil when it cannot stay or
// holds only a part of the guarantee.
func (p *pass) keep(free *pool, w workspace.Workspace) []cellPart {
	old, ok := p.planner.cells[w.Name()]
	if !ok || old.guarantee != w.Guarantee() || len(old.parts) == 0 || old.total() < w.Guarantee().Total() {
		return nil
	}
	parts := make([]cellPart, 0, len(old.parts))
	for _, a := range old.parts {
		site, ok := p.planner.top.byName[a.worker]
		if !ok || free.level[site] < a.accelerators {
			return nil
		}
		parts = append(parts, cellPart{site, a.accelerators})
	}
	for _, c := range parts {
		free.set(c.site, free.level[c.site]-c.accelerators)
	}
	return parts
}
