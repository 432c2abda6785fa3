package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// maintenanceRetry is how long after an attempt that did not succeed the maintenance of a machine is tried again.
	maintenanceRetry = 500 * time.Millisecond
	// longestClearing bounds how long a machine is kept free of new runs before what still runs there is stopped.
	longestClearing = 10 * time.Second
)

// Maintenance is the order to take a machine down for a wave, whose worker is the given one.
type Maintenance struct {
	wave    int64
	machine string
	worker  batch.Incarnation
}

// Wave returns the number of the wave.
func (m Maintenance) Wave() int64 { return m.wave }

// Machine returns the machine.
func (m Maintenance) Machine() string { return m.machine }

// Worker returns the worker that the machine has, the zero life if none is known.
func (m Maintenance) Worker() batch.Incarnation { return m.worker }

// clearing is a machine that is being emptied for its maintenance, or whose maintenance was ordered.
type clearing struct {
	wave     int64
	since    time.Time
	ordered  bool // an attempt is under way
	notUntil time.Time
}

// MaintenanceFailed notes an attempt that was not carried out, or whose outcome is not known.
func (c *Core) MaintenanceFailed(now time.Time, machine string) {
	if e := c.clearings[machine]; e != nil {
		e.ordered, e.notUntil = false, now.Add(maintenanceRetry)
	}
}

// maintain empties machines of the running waves and takes them down, as many at once as each wave bears.
func (c *Core) maintain(now time.Time, s batch.State, lives map[batch.Incarnation]*host, a *Actions) {
	byMachine := map[string]*host{}
	for _, h := range lives {
		if m := h.announcement.Machine(); m != "" {
			byMachine[m] = h
		}
	}
	for _, w := range s.Waves() {
		c.dropClearings(w)
		busy := c.down(w, byMachine)
		for _, m := range w.Pending() {
			if c.clearings[m] == nil {
				if busy >= w.MaxDown() {
					continue
				}
				c.clearings[m] = &clearing{wave: w.Number(), since: now}
			}
			busy++
			c.clear(now, s, w, m, byMachine[m], a)
		}
	}
}

// dropClearings forgets the machines of a wave whose maintenance has begun.
func (c *Core) dropClearings(w batch.Wave) {
	for m, e := range c.clearings {
		if _, begun := w.Begun(m); e.wave == w.Number() && (begun || w.Skipped(m)) {
			delete(c.clearings, m)
		}
	}
}

// down counts the machines of a wave that have not come back with another worker.
func (c *Core) down(w batch.Wave, byMachine map[string]*host) (count int) {
	for _, m := range w.Machines() {
		before, begun := w.Begun(m)
		if h := byMachine[m]; begun && (h == nil || !h.connected || h.announcement.Incarnation() == before) {
			count++
		}
	}
	return count
}

// clear stops what runs on a machine when that may be, and takes the machine down once nothing does.
func (c *Core) clear(now time.Time, s batch.State, w batch.Wave, machine string, h *host, a *Actions) {
	e := c.clearings[machine]
	if e.ordered || now.Before(e.notUntil) {
		return
	}
	left := 0
	worker := batch.Incarnation{}
	if h != nil {
		worker = h.announcement.Incarnation()
		for _, j := range s.Jobs().All() {
			eachPlaced(j, func(id run.ID, t batch.Task) {
				if t.Worker() != worker {
					return
				}
				left++
				if c.mayClear(now, w, e, j, id) {
					c.stop(now, id, h, "its machine is due for maintenance", a)
				}
			})
		}
	}
	if left > 0 {
		return
	}
	e.ordered = true
	c.decide(h, now, run.ID{}, "maintenance", machine)
	a.maintenance = append(a.maintenance, Maintenance{wave: w.Number(), machine: machine, worker: worker})
}

// mayClear reports whether a run may be stopped for maintenance now: a lasting one while enough others of its step work,
// one that keeps checkpoints at once, and others when their time is up.
func (c *Core) mayClear(now time.Time, w batch.Wave, e *clearing, j *batch.Job, id run.ID) bool {
	step := j.Spec().Steps()[id.Task().Step()]
	switch {
	case step.LongRunning():
		return step.MaxUnavailable() == 0 || c.away(j, id) < step.MaxUnavailable()
	case step.Checkpoints():
		return true
	}
	share := w.Deadline().Sub(e.since) * time.Duration(w.MaxDown()) / time.Duration(max(len(w.Pending()), 1))
	return now.Sub(e.since) >= min(share, longestClearing)
}

// cleared reports whether a host takes no new runs, since its machine is being emptied.
func (c *Core) cleared(h *host) bool { return c.clearings[h.announcement.Machine()] != nil }
