package run

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Announcement is what a worker says of itself; it is immutable.
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
}

// NewAnnouncement returns the announcement of a worker of a service with the given sequence number.
func NewAnnouncement(life batch.Incarnation, service, zone string, sequence int64) Announcement {
	return Announcement{incarnation: life, service: service, zone: zone, sequence: sequence}
}

// WithRack returns the announcement of a worker in a rack, with its labels.
func (a Announcement) WithRack(rack string, labels []string) Announcement {
	a.rack, a.labels = rack, labels
	return a
}

// WithCapacity returns the announcement of a worker with the given resources.
func (a Announcement) WithCapacity(r batch.Resources) Announcement {
	a.capacity = r
	return a
}

// WithDraining returns the announcement of a worker that takes no more runs and stays for remaining at least.
func (a Announcement) WithDraining(remaining time.Duration) Announcement {
	a.draining, a.remaining = true, remaining
	return a
}

// WithClock returns the announcement made at the given time of the worker's clock.
func (a Announcement) WithClock(clock time.Duration) Announcement {
	a.clock = clock
	return a
}

// WithMachine returns the announcement of a worker on a machine, which outlives it.
func (a Announcement) WithMachine(machine string) Announcement {
	a.machine = machine
	return a
}

// Machine returns the name of the machine, or an empty string.
func (a Announcement) Machine() string { return a.machine }

// Incarnation returns the worker's id and birth.
func (a Announcement) Incarnation() batch.Incarnation { return a.incarnation }

// Service returns the service that the worker belongs to.
func (a Announcement) Service() string { return a.service }

// Zone returns the availability zone.
func (a Announcement) Zone() string { return a.zone }

// Rack returns the rack.
func (a Announcement) Rack() string { return a.rack }

// Labels returns the labels, the rack among them.
func (a Announcement) Labels() []string { return a.labels }

// Capacity returns the resources of the worker.
func (a Announcement) Capacity() batch.Resources { return a.capacity }

// Draining reports whether the worker takes no more runs.
func (a Announcement) Draining() bool { return a.draining }

// Remaining returns how long a draining worker stays at least.
func (a Announcement) Remaining() time.Duration { return a.remaining }

// Sequence returns the number of the announcement in the worker's life.
func (a Announcement) Sequence() int64 { return a.sequence }

// Clock returns the worker's clock at the announcement.
func (a Announcement) Clock() time.Duration { return a.clock }

// After reports whether a was made after b: in a later life, or later in the same one.
func (a Announcement) After(b Announcement) bool {
	if a.incarnation.StartUnixMS() != b.incarnation.StartUnixMS() {
		return a.incarnation.StartUnixMS() > b.incarnation.StartUnixMS()
	}
	return a.sequence > b.sequence
}

// Running is a run that a worker lists.
type Running struct {
	id          ID
	checkpoint  string
	percent     int
	measurement int
}

// NewRunning returns a run with its latest checkpoint, how far it is in percent, and the worker's rough figure of it.
func NewRunning(id ID, checkpoint string, percent, figure int) Running {
	return Running{id: id, checkpoint: checkpoint, percent: percent, measurement: figure}
}

// ID returns the run.
func (r Running) ID() ID { return r.id }

// Checkpoint returns the latest checkpoint, or an empty string.
func (r Running) Checkpoint() string { return r.checkpoint }

// Percent returns how far the run is, 0 to 100; for a task that lasts, 100 once it is at work.
func (r Running) Percent() int { return r.percent }

// Measurement returns the tail latency in milliseconds of a task that serves, and the thousandths of a core that another uses.
func (r Running) Measurement() int { return r.measurement }

// Finished is an end that a worker lists until it is acknowledged.
type Finished struct {
	number int64
	end    batch.End
}

// NewFinished returns the end with the given number, from 1 in each life of the worker.
func NewFinished(number int64, e batch.End) Finished { return Finished{number: number, end: e} }

// Number returns the end's number.
func (f Finished) Number() int64 { return f.number }

// End returns the end.
func (f Finished) End() batch.End { return f.end }

// List is what a worker runs and what has ended there; it is immutable.
type List struct {
	incarnation  batch.Incarnation
	fencingToken uint64
	clock        time.Duration
	running      []Running
	finished     []Finished
	settled      []ID
}

// NewList returns a list that a worker made in the given life at a time of its clock, after it had seen a fencing
// token. The settled runs are those whose start or stop was answered before the list was asked for.
func NewList(life batch.Incarnation, fence uint64, clock time.Duration, running []Running, finished []Finished, settled []ID) List {
	return List{incarnation: life, fencingToken: fence, clock: clock, running: running, finished: finished, settled: settled}
}

// Incarnation returns the life that made the list.
func (l List) Incarnation() batch.Incarnation { return l.incarnation }

// FencingToken returns the fencing token that the worker had seen.
func (l List) FencingToken() uint64 { return l.fencingToken }

// Clock returns the worker's clock.
func (l List) Clock() time.Duration { return l.clock }

// Running returns the runs.
func (l List) Running() []Running { return l.running }

// Finished returns the ends.
func (l List) Finished() []Finished { return l.finished }

// Settled returns the runs whose start or stop was answered before.
func (l List) Settled() []ID { return l.settled }

// Report is what an agent tells the leader; a part that has not changed is absent.
type Report struct {
	agent        string
	announcement *Announcement
	list         *List
	refused      []Refusal
	terminating  bool
}

// Refusal is a start that the worker refused.
type Refusal struct {
	id     ID
	reason string
}

// NewRefusal returns the refusal of a start for the given reason.
func NewRefusal(id ID, reason string) Refusal { return Refusal{id: id, reason: reason} }

// ID returns the run.
func (r Refusal) ID() ID { return r.id }

// Reason returns the worker's reason.
func (r Refusal) Reason() string { return r.reason }

// NewReport returns an empty report of the named agent.
func NewReport(agent string) Report { return Report{agent: agent} }

// WithAnnouncement returns the report with the worker's latest announcement.
func (r Report) WithAnnouncement(a Announcement) Report {
	r.announcement = &a
	return r
}

// WithList returns the report with the worker's list.
func (r Report) WithList(l List) Report {
	r.list = &l
	return r
}

// WithRefused returns the report with starts that the worker refused.
func (r Report) WithRefused(refused []Refusal) Report {
	r.refused = refused
	return r
}

// WithTerminating returns the report that the worker has said that it ends.
func (r Report) WithTerminating() Report {
	r.terminating = true
	return r
}

// Agent returns the agent's name.
func (r Report) Agent() string { return r.agent }

// Announcement returns the worker's latest announcement.
func (r Report) Announcement() (a Announcement, ok bool) {
	if r.announcement == nil {
		return a, false
	}
	return *r.announcement, true
}

// List returns the worker's list.
func (r Report) List() (l List, ok bool) {
	if r.list == nil {
		return l, false
	}
	return *r.list, true
}

// Refused returns the starts that the worker refused.
func (r Report) Refused() []Refusal { return r.refused }

// Terminating reports whether the worker has said that it ends.
func (r Report) Terminating() bool { return r.terminating }
