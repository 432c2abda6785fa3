package dispatch

import (
	"cmp"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/placement"
	"rosemarywind.example/rosemarywind/internal/run"
)

// Core is the leader's view of the workers during one term. It is not safe for concurrent use.
type Core struct {
	timing   Timing
	fence    uint64
	elected  time.Time
	hosts    map[string]*host
	ordered  map[run.ID]*ordered
	fresh    map[run.ID]bool
	progress map[run.ID]*progress
	lengths  map[placement.StepKey]time.Duration
	advice   advice
	waits    map[batch.TaskID]placement.Reason // as logged last, by the key of the step's occurrence
	// clearings holds the machines that are being emptied for their maintenance, by name.
	clearings map[string]*clearing
	forgot    time.Time
	saved     time.Time
	log       []Decision
}

// ordered is a run that this leader gave orders about.
type ordered struct {
	started time.Time
	session uint64 // of the agent when the run was ordered to start
	stopped time.Time
	saved   time.Time
	refused bool
}

// NewCore returns the core of a leader that was elected at the given time; its fencing token is higher than that of any
// leader before it.
func NewCore(t Timing, fence uint64, now time.Time) *Core {
	return &Core{
		timing: t, fence: fence, elected: now, forgot: now,
		hosts: map[string]*host{}, ordered: map[run.ID]*ordered{}, fresh: map[run.ID]bool{},
		progress: map[run.ID]*progress{}, lengths: map[placement.StepKey]time.Duration{},
		advice:    advice{verdicts: map[batch.TaskID]map[batch.Incarnation]verdict{}},
		clearings: map[string]*clearing{}, waits: map[batch.TaskID]placement.Reason{},
	}
}

// Connect notes that an agent has a session.
func (c *Core) Connect(agent string, session uint64) {
	h := c.host(agent)
	h.session, h.connected, h.asked = session, true, false
}

// Disconnect notes that a session has ended, unless the agent has a later one.
func (c *Core) Disconnect(agent string, session uint64) {
	if h := c.host(agent); h.session == session {
		h.connected = false
	}
}

// Report takes the report of an agent.
func (c *Core) Report(now time.Time, r run.Report) {
	h := c.host(r.Agent())
	if h.listen(now, r) {
		c.observe(now, h.list)
	}
	for _, e := range r.Refused() {
		c.note(e.ID()).refused = true
		switch e.Reason() {
		case Unhealthy:
			h.health.failed(now)
		case badTicket:
			c.rejectTicket(e.ID().Task(), h)
		}
		c.decide(h, now, e.ID(), "start refused", e.Reason())
	}
}

// Unhealthy is the reason with which a sick worker refuses a start.
const Unhealthy = "unhealthy"

func (c *Core) host(agent string) *host {
	h, known := c.hosts[agent]
	if !known {
		h = &host{agent: agent, leaseEnds: c.inherited()}
		c.hosts[agent] = h
	}
	return h
}

// inherited returns until when a lease may run that an earlier leader granted.
func (c *Core) inherited() time.Time {
	return c.elected.Add(time.Duration(float64(c.timing.lease)/slowestClock) + lapseMargin)
}

func (c *Core) note(id run.ID) *ordered {
	o, known := c.ordered[id]
	if !known {
		o = &ordered{}
		c.ordered[id] = o
	}
	return o
}

// Begun notes a group whose runs were committed as begun by this leader, which is yet to order them.
func (c *Core) Begun(g batch.Group) {
	for _, m := range g.Members() {
		c.fresh[run.NewID(g.Task(m), m.Run())] = true
	}
}

// Step decides what is to be done at a time in a state.
func (c *Core) Step(now time.Time, s batch.State) (a Actions) {
	lives := c.lives()
	c.begin(now, s, lives, &a)
	stopping, waits := c.resolve(now, s, lives, &a)
	c.maintain(now, s, lives, &a)
	if waits && len(a.ends) == 0 {
		c.place(now, s, stopping, lives, &a)
	}
	c.pace(now, s, &a)
	c.hold(now, s, &a)
	c.forget(now, s, &a)
	a.marks = c.save(now, s)
	a.decisions, c.log = c.log, nil
	a.wake = now.Add(tickInterval)
	return a
}

// lives returns the hosts by the life of the worker that they have now.
func (c *Core) lives() map[batch.Incarnation]*host {
	m := map[batch.Incarnation]*host{}
	for _, h := range c.hosts {
		if h.announced {
			m[h.announcement.Incarnation()] = h
		}
	}
	return m
}

// begin orders the runs that were committed since the last step.
func (c *Core) begin(now time.Time, s batch.State, lives map[batch.Incarnation]*host, a *Actions) {
	ids := make([]run.ID, 0, len(c.fresh))
	for id := range c.fresh {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	for _, id := range ids {
		delete(c.fresh, id)
		j, known := s.Job(id.Task().Job())
		if !known || !j.Active() {
			continue
		}
		t, _ := j.Task(id.Task())
		h, here := lives[t.Worker()]
		if t.Phase() != batch.Placed || t.Run() != id.Run() || !here || !h.usable(now, c.fence) {
			continue
		}
		ticket, permitted := c.ticket(now, s, j, id.Task(), t.Worker())
		if !permitted {
			c.decide(h, now, id, "not started", "its ticket has expired")
			continue
		}
		o := c.note(id)
		o.started, o.session = now, h.session
		lease := h.grant(now, c.timing.lease)
		h.held = now
		start := run.NewStart(id, t.Worker(), j.Spec().Payload(), j.Checkpoint(id.Task()), lease).WithTicket(ticket)
		a.orders = append(a.orders, Addressed{h.agent, start})
		c.decide(h, now, id, "start", "placed")
	}
}

// place chooses what begins next.
func (c *Core) place(now time.Time, s batch.State, stopping map[run.ID]bool, lives map[batch.Incarnation]*host, a *Actions) {
	var workers []placement.Worker
	still, slow := c.ailing(now, s)
	for _, h := range c.hosts {
		if h.usable(now, c.fence) && !c.cleared(h) && !h.health.suspect(now) && !still[h.agent] {
			workers = append(workers, placement.NewWorker(h.announcement, h.health.failures > 0 || slow[h.agent]))
		}
	}
	if len(workers) == 0 {
		return
	}
	v := placement.NewView(now, s, workers, stopping, c.timing.far)
	p := placement.Decide(v.WithForecast(c.forecast(now, s)).WithVerdicts(c.verdicts(now)))
	c.inquire(now, p, a)
	c.noteWaits(now, p)
	a.groups = p.Groups()
	for _, id := range p.Stops() {
		j, _ := s.Job(id.Task().Job())
		t, _ := j.Task(id.Task())
		c.stop(now, id, lives[t.Worker()], "room for a more urgent job", a)
	}
}

// noteWaits logs for each step that waits why it does, once for each reason.
func (c *Core) noteWaits(now time.Time, p placement.Plan) {
	waits := make(map[batch.TaskID]placement.Reason, len(p.Waits()))
	for _, w := range p.Waits() {
		waits[w.Step()] = w.Reason()
		if c.waits[w.Step()] != w.Reason() {
			c.decide(nil, now, run.NewID(w.Step(), 0), "waits", string(w.Reason()))
		}
	}
	c.waits = waits
}

// stop orders the end of a run, again after a while.
func (c *Core) stop(now time.Time, id run.ID, h *host, why string, a *Actions) {
	o := c.note(id)
	if h == nil || !h.connected || now.Sub(o.stopped) < stopInterval {
		return
	}
	o.stopped = now
	a.orders = append(a.orders, Addressed{h.agent, run.NewStop(id)})
	c.decide(h, now, id, "stop", why)
}

func (c *Core) forget(now time.Time, s batch.State, a *Actions) {
	if now.Sub(c.forgot) < forgetInterval {
		return
	}
	c.forgot = now
	before := now.Add(-c.timing.keepEnded)
	for _, j := range s.Jobs().All() {
		if !j.Active() && j.EndedAt().Before(before) {
			a.forget = before
			break
		}
	}
	for id := range c.ordered {
		if j, known := s.Job(id.Task().Job()); !known || !j.Active() && !j.HasPlaced() {
			delete(c.ordered, id)
		}
	}
	c.forgetAdvice(s)
	for id := range c.progress {
		if j, known := s.Job(id.Task().Job()); !known || !j.HasPlaced() {
			delete(c.progress, id)
		}
	}
	for key := range c.lengths {
		if j, known := s.Job(key.Job()); !known || !j.Active() {
			delete(c.lengths, key)
		}
	}
}

func (c *Core) decide(h *host, now time.Time, id run.ID, what, why string) {
	d := Decision{id: id, what: what, why: why}
	if h != nil {
		d.worker = h.announcement.Incarnation().ID()
		d.age = now.Sub(h.heard)
	}
	c.log = append(c.log, d)
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

// eachPlaced calls f for each run of a job that is placed.
func eachPlaced(j *batch.Job, f func(run.ID, batch.Task)) {
	for k := range j.Spec().Occurrences() {
		for i := range j.Spec().Steps() {
			for n, t := range j.Tasks(k, i) {
				if t.Phase() == batch.Placed {
					f(run.NewID(batch.NewTaskID(j.Spec().ID(), k, i, n), t.Run()), t)
				}
			}
		}
	}
}
