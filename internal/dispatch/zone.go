package dispatch

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// ZoneEvacuated is the reason for which a run is not started, or is stopped, because of an evacuated availability zone.
const ZoneEvacuated = "its availability zone, or that of a member of its gang, is evacuated"

// zones holds what one step derives from the evacuated availability zones.
type zones struct {
	evacuated  bool                  // whether any zone is
	gangs      map[batch.TaskID]bool // results of gangPendingInEvacuatedZone, by the key of the step
	leaving    []run.ID              // long-running tasks that were told to leave
	candidates []run.ID              // long-running tasks that leave once they have a place elsewhere
	offered    map[batch.TaskID]int  // candidates by the key of the step
}

func newZones(s batch.State) zones {
	return zones{
		evacuated: len(s.Evacuations()) > 0, gangs: map[batch.TaskID]bool{}, offered: map[batch.TaskID]int{},
	}
}

// evacuated reports whether a host's availability zone is evacuated, so that nothing may start there.
func (c *Core) evacuated(h *host) bool {
	if !c.zones.evacuated || h == nil || !h.announced {
		return false
	}
	_, evacuated := c.state.Evacuation(h.announcement.Zone())
	return evacuated
}

// startForbidden reports whether the start of a run is forbidden by an evacuation: of the run's own zone, or of the zone of
// another member of its gang that has not begun.
func (c *Core) startForbidden(j *batch.Job, id run.ID, h *host, hosts map[batch.Incarnation]*host) bool {
	return c.evacuated(h) || c.gangPendingInEvacuatedZone(j, id, hosts)
}

// pendingInEvacuatedZone reports whether a run has not begun, as far as this leader knows, on a worker in an evacuated
// zone, and this leader is to order its start or has done so. A run that an earlier leader placed is lost if it is not
// listed.
func (c *Core) pendingInEvacuatedZone(id run.ID, t batch.Task, hosts map[batch.Incarnation]*host) bool {
	h := hosts[t.Worker()]
	if !c.evacuated(h) || c.progress[id] != nil {
		return false
	}
	if _, ended := h.listedEnd(id); ended {
		return false
	}
	o := c.orders[id]
	return c.toStart[id] || o != nil && (o.withheld || !o.startOrderedAt.IsZero())
}

// gangPendingInEvacuatedZone reports whether a member of the run's gang has not begun in an evacuated zone. The first
// answer for a gang holds for the whole step of the core: no such member is ordered to start meanwhile.
func (c *Core) gangPendingInEvacuatedZone(j *batch.Job, id run.ID, hosts map[batch.Incarnation]*host) bool {
	if !c.zones.evacuated || !j.Spec().Steps()[id.Task().Step()].Gang() {
		return false
	}
	key := id.Task().StepKey()
	pending, known := c.zones.gangs[key]
	if !known {
		pending = c.anyMemberPendingInEvacuatedZone(j, id.Task(), hosts)
		c.zones.gangs[key] = pending
	}
	return pending
}

func (c *Core) anyMemberPendingInEvacuatedZone(j *batch.Job, task batch.TaskID, hosts map[batch.Incarnation]*host) bool {
	for n, t := range j.Tasks(task.Occurrence(), task.Step()).In(batch.Placed) {
		member := run.NewID(batch.NewTaskID(task.Job(), task.Occurrence(), task.Step(), n), t.Run())
		if c.pendingInEvacuatedZone(member, t, hosts) {
			return true
		}
	}
	return false
}

// zoneReason returns why a placed run has to stop for an evacuation, or an empty string. Work that has begun may end; a
// long-running task moves.
func (c *Core) zoneReason(j *batch.Job, id run.ID, t batch.Task, hosts map[batch.Incarnation]*host) string {
	if !c.zones.evacuated {
		return ""
	}
	if c.pendingInEvacuatedZone(id, t, hosts) || c.gangPendingInEvacuatedZone(j, id, hosts) {
		return ZoneEvacuated
	}
	if c.evacuated(hosts[t.Worker()]) {
		return c.departure(j, id)
	}
	return ""
}

// maxDepartures bounds the long-running tasks that leave evacuated zones at a time, and so the places that a step looks for.
const maxDepartures = 64

// departure decides about a run at work in an evacuated zone. A long-running task that was told to leave leaves; another one
// becomes a candidate while fewer other tasks of its step are not working than the step tolerates. A gang stays, since all its
// members would have to stop.
func (c *Core) departure(j *batch.Job, id run.ID) (reason string) {
	step := j.Spec().Steps()[id.Task().Step()]
	if !step.LongRunning() || step.Gang() {
		return ""
	}
	if o := c.orders[id]; o != nil && !o.stopOrderedAt.IsZero() {
		c.zones.leaving = append(c.zones.leaving, id)
		return ZoneEvacuated
	}
	key := id.Task().StepKey()
	if c.countNotWorking(j, id)+c.zones.offered[key] < max(step.MaxUnavailable(), 1) {
		c.zones.offered[key]++
		c.zones.candidates = append(c.zones.candidates, id)
	}
	return ""
}

// departures returns the long-running tasks that the planner finds places for: those that leave already, and candidates up
// to maxDepartures in all. It returns none if there is no room for a candidate, since the places of those that leave are
// held only so that candidates do not count on them. The next step starts behind the last candidate of this one, so that
// candidates without a place do not keep others from a try.
func (c *Core) departures() []run.ID {
	slices.SortFunc(c.zones.leaving, compareIDs)
	slices.SortFunc(c.zones.candidates, compareIDs)
	all := c.zones.candidates
	count := min(len(all), max(maxDepartures-len(c.zones.leaving), 0))
	if count == 0 {
		return nil
	}
	from, found := slices.BinarySearchFunc(all, c.lastCandidate, compareIDs)
	if found {
		from++
	}
	chosen := slices.Concat(all[from:], all[:from])[:count]
	c.lastCandidate = chosen[count-1]
	slices.SortFunc(chosen, compareIDs)
	return append(c.zones.leaving, chosen...)
}

// stopDepartures stops the runs that have a place elsewhere. It counts the tasks that are not working once more, since the
// same decision may have preempted some.
func (c *Core) stopDepartures(now time.Time, ids []run.ID, hosts map[batch.Incarnation]*host, a *Actions) {
	for _, id := range ids {
		j, _ := c.state.Job(id.Task().Job())
		t, _ := j.Task(id.Task())
		if c.countNotWorking(j, id) < max(j.Spec().Steps()[id.Task().Step()].MaxUnavailable(), 1) {
			c.stop(now, id, hosts[t.Worker()], ZoneEvacuated, a)
		}
	}
}
