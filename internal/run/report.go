package run

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Announcement describes a worker, its location and its capacity, as it reports them; it is immutable.
type Announcement struct {
	incarnation batch.Incarnation
	service     string
	zone        string
	rack        string
	labels      []string
	capacity    batch.Resources
	draining    bool
	remaining   time.Duration
	sequence    int64
	clock       time.Duration
	machine     string
	slowFor     time.Duration
}

// NewAnnouncement returns the announcement of a worker of a service; sequence orders the announcements of one
// incarnation.
func NewAnnouncement(incarnation batch.Incarnation, service, zone string, sequence int64) Announcement {
	return Announcement{incarnation: incarnation, service: service, zone: zone, sequence: sequence}
}

// WithRack returns a copy with the worker's rack and its labels, the rack among them.
func (a Announcement) WithRack(rack string, labels []string) Announcement {
	a.rack, a.labels = rack, labels
	return a
}

// WithCapacity returns a copy with the worker's total resources.
func (a Announcement) WithCapacity(r batch.Resources) Announcement {
	a.capacity = r
	return a
}

// WithDraining returns a copy for a worker that accepts no more runs and stays up for at least remaining.
func (a Announcement) WithDraining(remaining time.Duration) Announcement {
	a.draining, a.remaining = true, remaining
	return a
}

// WithClock returns a copy with the reading of the worker's clock at the time of the announcement.
func (a Announcement) WithClock(clock time.Duration) Announcement {
	a.clock = clock
	return a
}

// WithMachine returns a copy with the machine that the worker runs on; the machine stays the same over incarnations.
func (a Announcement) WithMachine(machine string) Announcement {
	a.machine = machine
	return a
}

// WithSlowStart returns a copy for a worker that is slow for a while yet after its start.
func (a Announcement) WithSlowStart(d time.Duration) Announcement {
	a.slowFor = d
	return a
}

// SlowFor returns how long the worker is still slow after its start, counted from the announcement; 0 if it is not.
func (a Announcement) SlowFor() time.Duration { return a.slowFor }

// Machine returns the name of the machine, or an empty string if the worker does not report one.
func (a Announcement) Machine() string { return a.machine }

// Incarnation returns the incarnation of the worker that made the announcement.
func (a Announcement) Incarnation() batch.Incarnation { return a.incarnation }

// Service returns the name of the service that the worker belongs to.
func (a Announcement) Service() string { return a.service }

// Zone returns the name of the worker's availability zone.
func (a Announcement) Zone() string { return a.zone }

// Rack returns the name of the worker's rack, empty if the worker does not report one.
func (a Announcement) Rack() string { return a.rack }

// Labels returns the labels, the rack among them.
func (a Announcement) Labels() []string { return a.labels }

// Capacity returns the worker's total resources, whether in use or free.
func (a Announcement) Capacity() batch.Resources { return a.capacity }

// Draining reports whether the worker accepts no more runs.
func (a Announcement) Draining() bool { return a.draining }

// Remaining returns the time for which a draining worker stays up at least, counted from the announcement.
func (a Announcement) Remaining() time.Duration { return a.remaining }

// Sequence returns the number of the announcement, which increases within an incarnation.
func (a Announcement) Sequence() int64 { return a.sequence }

// Clock returns the reading of the worker's clock at the time of the announcement.
func (a Announcement) Clock() time.Duration { return a.clock }

// After reports whether a was made after b: by a later incarnation, or later by the same one.
func (a Announcement) After(b Announcement) bool {
	if a.incarnation.StartUnixMS() != b.incarnation.StartUnixMS() {
		return a.incarnation.StartUnixMS() > b.incarnation.StartUnixMS()
	}
	return a.sequence > b.sequence
}

// Running is a run in progress as listed by a worker.
type Running struct {
	id          ID
	checkpoint  string
	percent     int
	measurement int
}

// NewRunning returns a run with its latest checkpoint, its progress in percent, and the worker's approximate
// measurement of it.
func NewRunning(id ID, checkpoint string, percent, measurement int) Running {
	return Running{id: id, checkpoint: checkpoint, percent: percent, measurement: measurement}
}

// ID returns the id of the run in progress.
func (r Running) ID() ID { return r.id }

// Checkpoint returns the latest checkpoint, or an empty string.
func (r Running) Checkpoint() string { return r.checkpoint }

// Percent returns the progress of the run, 0 to 100; a long-running task is at 100 once it does its work.
func (r Running) Percent() int { return r.percent }

// Measurement returns the tail latency in milliseconds for a task that serves requests, or else the processor use in
// thousandths of a core.
func (r Running) Measurement() int { return r.measurement }

// Finished is the end of a run, which a worker lists until the leader acknowledges it.
type Finished struct {
	number int64
	end    batch.End
}

// NewFinished returns an end with its number; each incarnation of a worker numbers its ends from 1.
func NewFinished(number int64, e batch.End) Finished { return Finished{number: number, end: e} }

// Number returns the number of the end within the worker's incarnation, from 1.
func (f Finished) Number() int64 { return f.number }

// End returns the run and how it ended.
func (f Finished) End() batch.End { return f.end }

// List contains the runs in progress on a worker and the ends that are not acknowledged yet; it is immutable.
type List struct {
	incarnation  batch.Incarnation
	fencingToken uint64
	clock        time.Duration
	running      []Running
	finished     []Finished
	settled      []Settled
	truncated    bool
}

// NewList returns a list made by one incarnation of a worker at a reading of its clock, after it had seen a fencing
// token. The settled runs are those of which the worker answered an order before the list was requested.
func NewList(
	incarnation batch.Incarnation, fencingToken uint64, clock time.Duration,
	running []Running, finished []Finished, settled []Settled,
) List {
	return List{
		incarnation: incarnation, fencingToken: fencingToken, clock: clock,
		running: running, finished: finished, settled: settled,
	}
}

// WithTruncated returns a copy of a list in which later ends are missing, since the worker lists only so many at a time.
func (l List) WithTruncated(truncated bool) List {
	l.truncated = truncated
	return l
}

// Truncated reports whether ends may be missing after the listed ones: a run that is not listed may have ended.
func (l List) Truncated() bool { return l.truncated }

// Incarnation returns the incarnation of the worker that made the list.
func (l List) Incarnation() batch.Incarnation { return l.incarnation }

// FencingToken returns the fencing token that the worker had seen when it made the list.
func (l List) FencingToken() uint64 { return l.fencingToken }

// Clock returns the reading of the worker's clock when it made the list.
func (l List) Clock() time.Duration { return l.clock }

// Running returns the runs in progress.
func (l List) Running() []Running { return l.running }

// Finished returns the ends that are not acknowledged yet, in the order of their numbers.
func (l List) Finished() []Finished { return l.finished }

// Settled returns the runs of which the worker answered an order before the list was requested.
func (l List) Settled() []Settled { return l.settled }

// Report is a message of an agent to the leader; it contains only the parts that have changed.
type Report struct {
	agent        string
	announcement *Announcement
	list         *List
	refused      []Refusal
	terminating  bool
	exited       bool
	crashes      []Crash
	unreachable  bool
	speed        *Speed
}

// Refusal is a start order that the worker refused.
type Refusal struct {
	id     ID
	order  OrderID
	reason string
}

// NewRefusal returns the refusal of an order to start a run, with the worker's reason.
func NewRefusal(id ID, order OrderID, reason string) Refusal {
	return Refusal{id: id, order: order, reason: reason}
}

// ID returns the id of the run that was not started.
func (r Refusal) ID() ID { return r.id }

// OrderID returns the id of the refused order.
func (r Refusal) OrderID() OrderID { return r.order }

// Reason returns the reason as given by the worker or its agent.
func (r Refusal) Reason() string { return r.reason }

// NewReport returns a report of the named agent without any parts.
func NewReport(agent string) Report { return Report{agent: agent} }

// WithAnnouncement returns a copy with the worker's latest announcement.
func (r Report) WithAnnouncement(a Announcement) Report {
	r.announcement = &a
	return r
}

// WithList returns a copy with the worker's latest list.
func (r Report) WithList(l List) Report {
	r.list = &l
	return r
}

// WithRefused returns a copy with the start orders that were refused.
func (r Report) WithRefused(refused []Refusal) Report {
	r.refused = refused
	return r
}

// WithTerminating returns a copy that says that the worker has announced its termination.
func (r Report) WithTerminating() Report {
	r.terminating = true
	return r
}

// WithExited returns a copy that says that the worker has ended after it had announced its termination.
func (r Report) WithExited() Report {
	r.exited = true
	return r
}

// WithCrashes returns a copy with the latest crashes of the agent's worker, oldest first.
func (r Report) WithCrashes(crashes []Crash) Report {
	r.crashes = crashes
	return r
}

// Agent returns the name of the agent that made the report.
func (r Report) Agent() string { return r.agent }

// Announcement returns the worker's latest announcement; ok is false if the report has none.
func (r Report) Announcement() (a Announcement, ok bool) {
	if r.announcement == nil {
		return a, false
	}
	return *r.announcement, true
}

// List returns the worker's latest list; ok is false if the report has none.
func (r Report) List() (l List, ok bool) {
	if r.list == nil {
		return l, false
	}
	return *r.list, true
}

// Refused returns the refused start orders, nil if the report has none.
func (r Report) Refused() []Refusal { return r.refused }

// Crashes returns the crashes of the worker's earlier incarnations that the agent has seen; each session of the agent
// reports them again.
func (r Report) Crashes() []Crash { return r.crashes }

// WithUnreachable returns a copy that says that the worker accepts no connection.
func (r Report) WithUnreachable() Report {
	r.unreachable = true
	return r
}

// Unreachable reports whether the worker accepts no connection. The agent reports a list once it accepts one again.
func (r Report) Unreachable() bool { return r.unreachable }

// Exited reports whether the worker has ended, and all that ran on it, after it had announced its termination.
func (r Report) Exited() bool { return r.exited }

// Terminating reports whether the worker has announced its termination. It may stay for many seconds.
func (r Report) Terminating() bool { return r.terminating }
