package dispatch

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// maintenanceRetry is the pause before a failed maintenance of a machine is repeated.
	maintenanceRetry = 500 * time.Millisecond
	// maxDrainTime bounds how long a draining machine waits for runs to end before they are stopped.
	maxDrainTime = 10 * time.Second
)

// Maintenance is an order to take a machine down as part of a wave.
type Maintenance struct {
	wave    int64
	machine string
	worker  batch.Incarnation
}

// Wave returns the number of the wave.
func (m Maintenance) Wave() int64 { return m.wave }

// Machine returns the name of the machine.
func (m Maintenance) Machine() string { return m.machine }

// Worker returns the worker on the machine, or the zero value if none is known.
func (m Maintenance) Worker() batch.Incarnation { return m.worker }

// machineDrain is a machine that is drained for maintenance, or whose maintenance has been ordered.
type machineDrain struct {
	wave    int64
	since   time.Time
	ordered bool // an attempt is in flight
	retryAt time.Time
}

// MaintenanceFailed records an attempt that was not carried out or whose outcome is unknown; it is repeated after a
// pause.
func (c *Core) MaintenanceFailed(now time.Time, machine string) {
	if d := c.drains[machine]; d != nil {
		d.ordered, d.retryAt = false, now.Add(maintenanceRetry)
	}
}

// maintain drains machines of the running waves and takes them down, no more at once than each wave allows. A machine of
// several waves is drained for one of them at a time.
func (c *Core) maintain(now time.Time, s batch.State, hosts map[batch.Incarnation]*host, a *Actions) {
	byMachine := map[string]*host{}
	for _, h := range hosts {
		if m := h.announcement.Machine(); m != "" {
			byMachine[m] = h
		}
	}
	waves := s.Waves()
	for _, w := range waves {
		c.dropDrains(w)
	}
	for _, w := range waves {
		down := c.countDown(w, byMachine) + c.countDraining(w)
		for _, m := range w.Pending() {
			d := c.drains[m]
			switch {
			case d != nil && d.wave != w.Number(), d == nil && down >= w.MaxDown():
				continue
			case d == nil:
				c.drains[m] = &machineDrain{wave: w.Number(), since: now}
				down++
			}
			c.drainMachine(now, s, w, m, byMachine[m], a)
		}
	}
}

// dropDrains drops the drains of a wave's machines whose maintenance has begun or was skipped.
func (c *Core) dropDrains(w batch.Wave) {
	for m, d := range c.drains {
		if _, begun := w.Begun(m); d.wave == w.Number() && (begun || w.Skipped(m)) {
			delete(c.drains, m)
		}
	}
}

// countDraining counts the machines that are drained for a wave.
func (c *Core) countDraining(w batch.Wave) (count int) {
	for _, d := range c.drains {
		if d.wave == w.Number() {
			count++
		}
	}
	return count
}

// countDown counts the machines of a wave that have not yet returned with a new worker.
func (c *Core) countDown(w batch.Wave, byMachine map[string]*host) (count int) {
	for _, m := range w.Machines() {
		before, begun := w.Begun(m)
		if h := byMachine[m]; begun && (h == nil || !h.connected || h.announcement.Incarnation() == before) {
			count++
		}
	}
	return count
}

// drainMachine stops the runs on a machine when permitted, and orders its maintenance once none is left. A machine that
// no agent has reported to this leader may be that of any run on a worker that none has reported either.
func (c *Core) drainMachine(now time.Time, s batch.State, w batch.Wave, machine string, h *host, a *Actions) {
	d := c.drains[machine]
	if d.ordered || now.Before(d.retryAt) || h == nil && c.hasUnreportedRuns(s) {
		return
	}
	remaining := 0
	worker := batch.Incarnation{}
	if h != nil {
		worker = h.announcement.Incarnation()
		for _, j := range s.Jobs().All() {
			eachPlaced(j, func(id run.ID, t batch.Task) {
				if t.Worker() != worker {
					return
				}
				remaining++
				if c.mayStop(now, w, d, j, id) {
					c.stop(now, id, h, "its machine is due for maintenance", a)
				}
			})
		}
	}
	if remaining > 0 {
		return
	}
	d.ordered = true
	c.logDecision(h, now, run.ID{}, "maintenance", machine)
	a.maintenance = append(a.maintenance, Maintenance{wave: w.Number(), machine: machine, worker: worker})
}

// hasUnreportedRuns reports whether a run is placed on a host whose agent has not reported to this leader. Such runs end
// as lost once the lease of the earlier leader has ended.
func (c *Core) hasUnreportedRuns(s batch.State) (found bool) {
	for _, j := range s.Jobs().All() {
		eachPlaced(j, func(_ run.ID, t batch.Task) {
			h := c.hosts[t.Worker().Host()]
			found = found || h == nil || !h.announced
		})
	}
	return found
}

// mayStop reports whether a run may be stopped for maintenance now. A long-running task may stop while its step
// tolerates one more missing task, a task that saves checkpoints at once, and any other when its share of the wave's
// time or maxDrainTime has passed.
func (c *Core) mayStop(now time.Time, w batch.Wave, d *machineDrain, j *batch.Job, id run.ID) bool {
	step := j.Spec().Steps()[id.Task().Step()]
	switch {
	case step.LongRunning():
		return step.MaxUnavailable() == 0 || c.countNotWorking(j, id) < step.MaxUnavailable()
	case step.Checkpoints():
		return true
	}
	perMachine := w.Deadline().Sub(d.since) * time.Duration(w.MaxDown()) / time.Duration(max(len(w.Pending()), 1))
	return now.Sub(d.since) >= min(perMachine, maxDrainTime)
}

// isDraining reports whether a host gets no new runs because its machine is being drained.
func (c *Core) isDraining(h *host) bool { return c.drains[h.announcement.Machine()] != nil }
