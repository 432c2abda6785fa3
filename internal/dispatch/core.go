package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
	"rosemarywind.example/rosemarywind/internal/speed"
)

// Core decides about runs for the leader of one term, from the replicated state and the agents' reports. It is not
// safe for concurrent use.
type Core struct {
	timing       Timing
	fencingToken uint64
	lastOrder    uint64 // number of the latest order about a run
	electedAt    time.Time
	hosts        map[string]*host
	orders       map[run.ID]*runOrders
	toStart      map[run.ID]bool
	progress     map[run.ID]*progress
	durations    map[placement.StepKey]time.Duration
	speeds       *speed.Model
	interference *speed.Interference
	slowdowns    speed.Slowdowns // of the current step
	listed       []run.ID        // runs with progress reported since the last step
	advice       advice
	loggedWaits  map[batch.TaskID]placement.Reason // the reason logged last, by the key of the step's occurrence
	longWaits    map[batch.TaskID]time.Time        // when a long wait was logged last, by the same key
	explainedAt  time.Time                         // when long waits were explained last
	// stoppedGangs holds the latest run in which a member was stopped and has left a checkpoint, by the key of the step.
	stoppedGangs map[batch.TaskID]int
	// drains holds the machines that are being drained for maintenance, by name.
	drains     map[string]*machineDrain
	uncounted  []batch.RunCrash                      // reported crashes that the state may not count yet
	state      batch.State                           // of the current step
	used       map[batch.Incarnation]batch.Resources // in that state, once it is needed
	zones      zones                                 // of the current step
	notWorking map[batch.TaskID]int                  // results of countNotWorking in the current step
	lastForget time.Time
	lastSave   time.Time
	speedLog   speedLog
	movedAt    time.Time // when runs to move were looked for last, without waiting tasks
	// lastCandidate is the last run that the planner was asked to find a place outside an evacuated zone for.
	lastCandidate run.ID
	decisions     []Decision
}

// runOrders records the orders that this leader gave about a run.
type runOrders struct {
	start          run.OrderID // the latest start order
	startOrderedAt time.Time
	startSession   uint64 // the agent's session at the start order
	stopOrderedAt  time.Time
	stopReason     string // of the first stop order
	savedAt        time.Time
	withheld       bool // this leader placed the run, and its worker was not usable when the start was due
}

// NewCore returns a core for a leader elected at the given time. The fencing token must be higher than that of any
// earlier leader.
func NewCore(t Timing, fencingToken uint64, now time.Time) *Core {
	return &Core{
		timing: t, fencingToken: fencingToken, electedAt: now, lastForget: now,
		hosts: map[string]*host{}, orders: map[run.ID]*runOrders{}, toStart: map[run.ID]bool{},
		progress: map[run.ID]*progress{}, durations: map[placement.StepKey]time.Duration{}, speeds: speed.NewModel(),
		interference: speed.NewInterference(),
		advice:       advice{verdicts: map[batch.TaskID]map[batch.Incarnation]verdict{}},
		drains:       map[string]*machineDrain{}, loggedWaits: map[batch.TaskID]placement.Reason{},
		longWaits: map[batch.TaskID]time.Time{}, stoppedGangs: map[batch.TaskID]int{},
	}
}

// Connect records a new session of an agent.
func (c *Core) Connect(agent string, session uint64) {
	h := c.host(agent)
	h.session, h.connected, h.listRequested = session, true, false
}

// SetOrderRoom records how many orders the session of an agent can take, without a limit before the first call. A step
// leaves what is beyond that to later ones.
func (c *Core) SetOrderRoom(agent string, room int) { c.host(agent).orderRoom = room }

// Disconnect records the end of a session; it has no effect if the agent has opened a later one.
func (c *Core) Disconnect(agent string, session uint64) {
	if h := c.host(agent); h.session == session {
		h.connected = false
	}
}

// Report takes in the report of an agent.
func (c *Core) Report(now time.Time, r run.Report) {
	h := c.host(r.Agent())
	if h.update(now, r) {
		c.observeProgress(now, h.list, h.startsSlowly(now))
	}
	if s, ok := r.Speed(); ok && h.announced && s.Worker().Host() == h.agent {
		c.speeds.Restore(now, h.announcement.Service(), s)
	}
	c.observeCrashes(now, h, r.Crashes())
	for _, e := range r.Refused() {
		switch e.Reason() {
		case Unhealthy:
			h.health.recordFailure(now)
		case ticketRefused:
			// The refusal of an earlier order says nothing about the ticket in the latest one.
			if !e.OrderID().Before(c.ordersOf(e.ID()).start) {
				c.dropTicket(e.ID().Task(), h)
			}
		}
		d := c.newDecision(h, now, e.ID(), "start refused", e.Reason())
		d.answered = e.OrderID()
		c.decisions = append(c.decisions, d)
	}
}

// Unhealthy is the reason a worker gives when it refuses a start because it is not healthy.
const Unhealthy = "unhealthy"

func (c *Core) host(agent string) *host {
	h, known := c.hosts[agent]
	if !known {
		h = &host{agent: agent, leaseEnds: c.inheritedLeaseEnd(), orderRoom: math.MaxInt}
		c.hosts[agent] = h
	}
	return h
}

// inheritedLeaseEnd returns the latest time at which a lease granted by an earlier leader can end.
func (c *Core) inheritedLeaseEnd() time.Time {
	return c.electedAt.Add(time.Duration(float64(c.timing.lease)/minClockRate) + leaseMargin)
}

func (c *Core) ordersOf(id run.ID) *runOrders {
	o, known := c.orders[id]
	if !known {
		o = &runOrders{}
		c.orders[id] = o
	}
	return o
}

// RunsCommitted records a group whose runs are committed as begun; the next step orders them to start.
func (c *Core) RunsCommitted(g batch.Group) {
	for _, m := range g.Members() {
		c.toStart[run.NewID(g.Task(m), m.Run())] = true
	}
}

// Step decides what to do at the given time in the given state.
func (c *Core) Step(now time.Time, s batch.State) (a Actions) {
	c.state, c.used, c.zones, c.notWorking = s, nil, newZones(s), map[batch.TaskID]int{}
	hosts := c.hostsByIncarnation()
	c.observeSpeeds(now, s)
	c.observeNeighbours(now, s, &a)
	c.countCrashes(s, &a)
	c.orderStarts(now, s, hosts, &a)
	stopping, waits := c.resolve(now, s, hosts, &a)
	c.maintain(now, s, hosts, &a)
	if !waits {
		a.waiting = &Waiting{}
	}
	if (waits || len(c.zones.candidates) > 0 || c.beginMoveSearch(now)) && len(a.ends) == 0 && len(a.crashes) == 0 {
		c.place(now, s, stopping, hosts, &a)
	}
	c.countSpeeds(now, &a)
	c.adjustPaces(now, s, &a)
	c.sendHolds(now, s, &a)
	c.forget(now, s, &a)
	a.checkpoints = c.chooseCheckpoints(now, s)
	a.decisions, c.decisions = c.decisions, nil
	a.wake = now.Add(stepInterval)
	return a
}

// hostsByIncarnation returns the hosts by the current incarnation of their worker.
func (c *Core) hostsByIncarnation() map[batch.Incarnation]*host {
	m := map[batch.Incarnation]*host{}
	for _, h := range c.hosts {
		if h.announced {
			m[h.announcement.Incarnation()] = h
		}
	}
	return m
}

// orderStarts orders the start of the runs that were committed since the last step.
func (c *Core) orderStarts(now time.Time, s batch.State, hosts map[batch.Incarnation]*host, a *Actions) {
	ids := make([]run.ID, 0, len(c.toStart))
	for id := range c.toStart {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	for _, id := range ids {
		delete(c.toStart, id)
		j, known := s.Job(id.Task().Job())
		if !known || !j.Active() {
			continue
		}
		t, _ := j.Task(id.Task())
		h, here := hosts[t.Worker()]
		if t.Phase() != batch.Placed || t.Run() != id.Run() {
			continue
		}
		o := c.ordersOf(id)
		if !o.stopOrderedAt.IsZero() {
			continue
		}
		if !here || !h.usable(now, c.fencingToken) {
			o.withheld = true
			continue
		}
		if reason := c.startObstacle(now, j, id, t, hosts); reason != "" {
			// The other members of its gang wait for a run that is withheld in an evacuated zone.
			o.withheld = o.withheld || reason == ZoneEvacuated
			c.logDecision(h, now, id, "not started", reason)
			continue
		}
		if !h.takeOrderRoom() {
			c.toStart[id] = true
			continue
		}
		o.start, o.startOrderedAt, o.startSession = c.nextOrder(), now, h.session
		lease := h.grant(now, c.timing.lease)
		h.holdSentAt = now
		ticket, _ := c.ticket(now, j, id.Task(), t.Worker())
		start := run.NewStart(id, t.Worker(), j.Spec().Payload(), j.Checkpoint(id.Task()), lease).WithTicket(ticket).
			WithOrderID(o.start)
		a.orders = append(a.orders, AddressedOrder{h.agent, start})
		c.logDecision(h, now, id, "start", "placed")
	}
}

// startObstacle returns why the start of a placed run must not be ordered now, or an empty string.
func (c *Core) startObstacle(
	now time.Time, j *batch.Job, id run.ID, t batch.Task, hosts map[batch.Incarnation]*host,
) string {
	h := hosts[t.Worker()]
	if c.startForbidden(j, id, h, hosts) {
		return ZoneEvacuated
	}
	if c.overcommitted(h) {
		return "its worker's capacity has shrunk"
	}
	if _, permitted := c.ticket(now, j, id.Task(), t.Worker()); !permitted {
		return "its ticket has expired"
	}
	return ""
}

// place selects the runs to begin next and those to preempt.
func (c *Core) place(now time.Time, s batch.State, stopping map[run.ID]bool, hosts map[batch.Incarnation]*host, a *Actions) {
	var workers []placement.Worker
	stalled, speeds := c.stalledHosts(now, s), c.speeds.Estimates(now)
	uses := map[string]WorkerUse{}
	for _, h := range c.hosts {
		uses[h.agent] = c.workerUse(now, h, stalled)
		switch uses[h.agent] {
		case Usable, Quarantined:
			avoided := h.health.failures > 0 || h.startsSlowly(now) || h.surelySlow(speeds)
			w := placement.NewWorker(h.announcement, avoided)
			workers = append(workers, w.WithQuarantine(uses[h.agent] == Quarantined))
		case Disconnected, Unannounced, Unreachable, Leaving, Silent, RunsUnknown, ClockUnknown, Evacuated, Maintained, Stalled:
		}
	}
	v := placement.NewView(now, s, workers, stopping, c.timing.remoteFactor).WithSpeeds(speeds).
		WithSlowdowns(c.slowdowns)
	explain := now.Sub(c.explainedAt) >= explainInterval
	if explain {
		c.explainedAt = now
		v = v.WithExplanations(maxExplanations, longWait)
	}
	v = v.WithForecast(c.forecast(now, s)).WithVerdicts(c.verdicts(now)).WithDepartures(c.departures())
	p := placement.Decide(v)
	c.inquire(now, p, a)
	c.logWaits(now, p)
	if explain {
		c.logLongWaits(now, p, uses)
		a.waiting = newWaiting(now, p, uses)
	}
	a.groups = p.Groups()
	stop := func(ids []run.ID, reason string) {
		for _, id := range ids {
			j, _ := s.Job(id.Task().Job())
			t, _ := j.Task(id.Task())
			c.stop(now, id, hosts[t.Worker()], reason, a)
		}
	}
	stop(p.Stops(), preempted)
	stop(p.Moves(), movedFromSlow)
	a.moves, a.keptApart = len(p.Moves()), p.KeptApart()
	c.stopDepartures(now, p.Departures(), hosts, a)
}

// logWaits logs why each waiting step waits, again only when the reason changes.
func (c *Core) logWaits(now time.Time, p placement.Plan) {
	waits := make(map[batch.TaskID]placement.Reason, len(p.Waits()))
	for _, w := range p.Waits() {
		waits[w.Step()] = w.Reason()
		if c.loggedWaits[w.Step()] != w.Reason() {
			c.logDecision(nil, now, run.NewID(w.Step(), 0), "waits", string(w.Reason()))
		}
	}
	c.loggedWaits = waits
}

// stop orders the end of a run, at most once per stopInterval and if the agent's session can take the order.
func (c *Core) stop(now time.Time, id run.ID, h *host, reason string, a *Actions) {
	o := c.ordersOf(id)
	if h == nil || !h.connected || now.Sub(o.stopOrderedAt) < stopInterval || !h.takeOrderRoom() {
		return
	}
	c.countAsNotWorking(id)
	o.stopOrderedAt, o.stopReason = now, cmp.Or(o.stopReason, reason)
	a.orders = append(a.orders, AddressedOrder{h.agent, run.NewStop(id).WithOrderID(c.nextOrder())})
	c.logDecision(h, now, id, "stop", reason)
}

func (c *Core) forget(now time.Time, s batch.State, a *Actions) {
	if now.Sub(c.lastForget) < forgetInterval {
		return
	}
	c.lastForget = now
	endedBefore := now.Add(-c.timing.keepEnded)
	for _, j := range s.Jobs().All() {
		if !j.Active() && j.EndedAt().Before(endedBefore) {
			a.forgetBefore = endedBefore
			break
		}
	}
	for id := range c.orders {
		if j, known := s.Job(id.Task().Job()); !known || !j.Active() && !j.HasPlaced() {
			delete(c.orders, id)
		}
	}
	c.forgetAdvice(s)
	c.forgetStoppedGangs(s)
	for id := range c.progress {
		if j, known := s.Job(id.Task().Job()); !known || !j.HasPlaced() {
			delete(c.progress, id)
		}
	}
	c.speeds.Forget(now, func(job string) bool {
		j, known := s.Job(job)
		return known && j.Active()
	})
	for key := range c.durations {
		if j, known := s.Job(key.Job()); !known || !j.Active() {
			delete(c.durations, key)
		}
	}
}

// nextOrder returns the id of the next order about a run.
func (c *Core) nextOrder() run.OrderID {
	c.lastOrder++
	return run.NewOrderID(c.fencingToken, c.lastOrder)
}

func (c *Core) logDecision(h *host, now time.Time, id run.ID, kind, reason string) {
	c.decisions = append(c.decisions, c.newDecision(h, now, id, kind, reason))
}

// newDecision returns the record of a decision with what is known of the run and of the host.
func (c *Core) newDecision(h *host, now time.Time, id run.ID, kind, reason string) Decision {
	d := Decision{id: id, kind: kind, reason: reason}
	if o := c.orders[id]; o != nil {
		d.order = o.start
	}
	if h != nil {
		d.worker = h.announcement.Incarnation().ID()
		d.reportAge = now.Sub(h.reportedAt)
		d.session = h.session
		d.answered, _ = h.answeredOrder(id)
	}
	if h != nil && h.listed {
		d.listAge = now.Sub(h.listedAt)
	}
	return d
}

func sortedHosts(hosts map[string]*host) (list []*host) {
	for _, h := range hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *host) int { return cmp.Compare(a.agent, b.agent) })
	return list
}

func compareIDs(a, b run.ID) int {
	x, y := a.Task(), b.Task()
	return cmp.Or(cmp.Compare(x.Job(), y.Job()), cmp.Compare(x.Occurrence(), y.Occurrence()),
		cmp.Compare(x.Step(), y.Step()), cmp.Compare(x.Index(), y.Index()), cmp.Compare(a.Run(), b.Run()))
}

// eachPlaced calls f for each placed run of a job.
func eachPlaced(j *batch.Job, f func(run.ID, batch.Task)) {
	for k := range j.Open() {
		for i := range j.Spec().Steps() {
			for n, t := range j.Tasks(k, i).In(batch.Placed) {
				f(run.NewID(batch.NewTaskID(j.Spec().ID(), k, i, n), t.Run()), t)
			}
		}
	}
}
