package dispatch

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

// ZoneEvacuated is the reason for which a run is not started, or is stopped, because of an evacuated availability zone.
const ZoneEvacuated = "its availability zone, or that of a member of its gang, is evacuated"

// zones holds what one step derives from the evacuated availability zones.
type zones struct {
	evacuated bool                                  // whether any zone is
	gangs     map[batch.TaskID]bool                 // results of gangAwaitsZone, by the key of the step
	moves     map[batch.Incarnation]batch.Resources // room that runs are moved to
	noRoom    map[placement.StepKey]bool            // steps of which no more tasks find room elsewhere
}

func newZones(s batch.State) zones {
	return zones{
		evacuated: len(s.Evacuations()) > 0, gangs: map[batch.TaskID]bool{},
		moves: map[batch.Incarnation]batch.Resources{}, noRoom: map[placement.StepKey]bool{},
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

// mayNotStart reports whether the start of a run is forbidden by an evacuation: of the run's own zone, or of the zone of
// another member of its gang that has not begun.
func (c *Core) mayNotStart(j *batch.Job, id run.ID, h *host, hosts map[batch.Incarnation]*host) bool {
	return c.evacuated(h) || c.gangAwaitsZone(j, id, hosts)
}

// awaitsZone reports whether a run has not begun, as far as this leader knows, on a worker in an evacuated zone, and this
// leader is to order its start or has done so. A run that an earlier leader placed is lost if it is not listed.
func (c *Core) awaitsZone(id run.ID, t batch.Task, hosts map[batch.Incarnation]*host) bool {
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

// gangAwaitsZone reports whether a member of the run's gang awaits its start in an evacuated zone. The first answer for a
// gang holds for the whole step: a member that awaits its start is not ordered to start there meanwhile.
func (c *Core) gangAwaitsZone(j *batch.Job, id run.ID, hosts map[batch.Incarnation]*host) bool {
	if !c.zones.evacuated || !j.Spec().Steps()[id.Task().Step()].Gang() {
		return false
	}
	key := id.Task().StepKey()
	awaits, known := c.zones.gangs[key]
	if !known {
		awaits = c.anyMemberAwaitsZone(j, id.Task(), hosts)
		c.zones.gangs[key] = awaits
	}
	return awaits
}

func (c *Core) anyMemberAwaitsZone(j *batch.Job, task batch.TaskID, hosts map[batch.Incarnation]*host) bool {
	for n, t := range j.Tasks(task.Occurrence(), task.Step()).In(batch.Placed) {
		member := run.NewID(batch.NewTaskID(task.Job(), task.Occurrence(), task.Step(), n), t.Run())
		if c.awaitsZone(member, t, hosts) {
			return true
		}
	}
	return false
}

// zoneReason returns why a placed run has to stop for an evacuation, or an empty string. Work that has begun may end; a
// long-running task moves.
func (c *Core) zoneReason(
	now time.Time, j *batch.Job, id run.ID, t batch.Task, hosts map[batch.Incarnation]*host,
) string {
	if !c.zones.evacuated {
		return ""
	}
	if c.awaitsZone(id, t, hosts) || c.gangAwaitsZone(j, id, hosts) ||
		c.evacuated(hosts[t.Worker()]) && c.movesFromZone(now, j, id) {
		return ZoneEvacuated
	}
	return ""
}

// movesFromZone reports whether a long-running task leaves an evacuated zone now: while fewer other tasks of its step are
// not working than the step tolerates, and only if another worker has room for it.
func (c *Core) movesFromZone(now time.Time, j *batch.Job, id run.ID) bool {
	step := j.Spec().Steps()[id.Task().Step()]
	return step.LongRunning() && c.countNotWorking(j, id) < max(step.MaxUnavailable(), 1) && c.takeRoomElsewhere(now, j, id)
}

// takeRoomElsewhere reports whether a usable worker has room for the task of a run, and keeps that room for it during
// this step. A run that is being stopped already has its room.
func (c *Core) takeRoomElsewhere(now time.Time, j *batch.Job, id run.ID) bool {
	if o := c.orders[id]; o != nil && !o.stopOrderedAt.IsZero() {
		return true
	}
	key, step := placement.NewStepKey(id.Task()), j.Spec().Steps()[id.Task().Step()]
	if c.zones.noRoom[key] {
		return false
	}
	service := c.state.CurrentQueue(j).Service()
	for _, h := range sortedHosts(c.hosts) {
		worker := h.announcement.Incarnation()
		used := c.placedOn(worker).Plus(c.zones.moves[worker]).Plus(step.Reserved())
		if h.announcement.Service() != service || !used.Fits(h.announcement.Capacity()) ||
			step.Label() != "" && !slices.Contains(h.announcement.Labels(), step.Label()) ||
			c.workerUse(now, h, nil) != Usable {
			continue
		}
		c.zones.moves[worker] = c.zones.moves[worker].Plus(step.Reserved())
		return true
	}
	c.zones.noRoom[key] = true
	return false
}
