package wire

import (
	"fmt"
	"io"
	"time"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/run"
)

// The kinds of orders about runs on the wire.
const (
	runStart      = "start"
	runStop       = "stop"
	runPace       = "pace"
	runRenewLease = "hold"
)

type runIDForm struct {
	_    struct{} `cbor:",toarray"`
	Task taskForm
	Run  int
}

func newRunIDForm(i run.ID) runIDForm { return runIDForm{Task: newTaskForm(i.Task()), Run: i.Run()} }

func (f runIDForm) id() run.ID { return run.NewID(f.Task.task(), f.Run) }

type runOrderForm struct {
	Kind         string           `cbor:"1,keyasint"`
	FencingToken uint64           `cbor:"2,keyasint"`
	ID           *runIDForm       `cbor:"3,keyasint,omitempty"`
	Incarnation  *incarnationForm `cbor:"4,keyasint,omitempty"`
	Payload      string           `cbor:"5,keyasint,omitempty"`
	Checkpoint   string           `cbor:"6,keyasint,omitempty"`
	Lease        int64            `cbor:"7,keyasint,omitempty"`
	Acknowledged int64            `cbor:"8,keyasint,omitempty"`
	ListNow      bool             `cbor:"9,keyasint,omitempty"`
	Percent      int              `cbor:"10,keyasint,omitempty"`
	Ticket       string           `cbor:"11,keyasint,omitempty"`
	Speed        *speedForm       `cbor:"12,keyasint,omitempty"`
	Number       uint64           `cbor:"13,keyasint,omitempty"`
}

// WriteRunOrder writes an order about runs with its fencing token.
func WriteRunOrder(w io.Writer, e run.Envelope) error {
	f := runOrderForm{FencingToken: e.FencingToken()}
	switch o := e.Order().(type) {
	case run.Start:
		id, incarnation := newRunIDForm(o.ID()), newIncarnationForm(o.Incarnation())
		f.Kind, f.ID, f.Incarnation, f.Payload, f.Checkpoint, f.Lease = runStart, &id, &incarnation, o.Payload(), o.Checkpoint(), int64(o.Lease())
		f.Ticket, f.Number = o.Ticket(), o.OrderID().Number()
	case run.Stop:
		id := newRunIDForm(o.ID())
		f.Kind, f.ID, f.Number = runStop, &id, o.OrderID().Number()
	case run.Pace:
		id := newRunIDForm(o.ID())
		f.Kind, f.ID, f.Percent = runPace, &id, o.Percent()
	case run.RenewLease:
		incarnation := newIncarnationForm(o.Incarnation())
		f.Kind, f.Incarnation, f.Lease, f.Acknowledged, f.ListNow = runRenewLease, &incarnation, int64(o.Lease()), o.Acknowledged(), o.ListNow()
		f.Speed = newSpeedForm(o.Speed())
	}
	return writeFrame(w, f)
}

// ReadRunOrder reads an order about runs with its fencing token.
func ReadRunOrder(r io.Reader) (e run.Envelope, err error) {
	defer annotate("read order", &err)
	var f runOrderForm
	if err = readFrame(r, &f, MaxFrameBytes); err != nil {
		return e, err
	}
	order := run.NewOrderID(f.FencingToken, f.Number)
	switch {
	case f.Kind == runStart && f.ID != nil && f.Incarnation != nil:
		o := run.NewStart(f.ID.id(), f.Incarnation.incarnation(), f.Payload, f.Checkpoint, time.Duration(f.Lease))
		return run.NewEnvelope(f.FencingToken, o.WithTicket(f.Ticket).WithOrderID(order)), nil
	case f.Kind == runStop && f.ID != nil:
		return run.NewEnvelope(f.FencingToken, run.NewStop(f.ID.id()).WithOrderID(order)), nil
	case f.Kind == runPace && f.ID != nil:
		return run.NewEnvelope(f.FencingToken, run.NewPace(f.ID.id(), f.Percent)), nil
	case f.Kind == runRenewLease && f.Incarnation != nil:
		o := run.NewRenewLease(f.Incarnation.incarnation(), time.Duration(f.Lease), f.Acknowledged, f.ListNow)
		if f.Speed != nil {
			o = o.WithSpeed(f.Speed.speed())
		}
		return run.NewEnvelope(f.FencingToken, o), nil
	}
	return e, fmt.Errorf("order of kind %q is unknown or incomplete", f.Kind)
}

type runAnnouncementForm struct {
	_            struct{} `cbor:",toarray"`
	Incarnation  incarnationForm
	Service      string
	Zone         string
	Rack         string
	Labels       []string
	Millicores   int
	MemoryMB     int
	Accelerators int
	Draining     bool
	Remaining    int64
	Sequence     int64
	Clock        int64
	Machine      string
}

type runningForm struct {
	_           struct{} `cbor:",toarray"`
	ID          runIDForm
	Checkpoint  string
	Percent     int
	Measurement int
}

type finishedForm struct {
	_      struct{} `cbor:",toarray"`
	Number int64
	End    endForm
}

type listForm struct {
	_            struct{} `cbor:",toarray"`
	Incarnation  incarnationForm
	FencingToken uint64
	Clock        int64
	Running      []runningForm
	Finished     []finishedForm
	Settled      []runIDForm
}

type refusalForm struct {
	_      struct{} `cbor:",toarray"`
	ID     runIDForm
	Reason string
}

type crashForm struct {
	_      struct{} `cbor:",toarray"`
	Worker incarnationForm
	Runs   []crashedRunForm
}

type crashedRunForm struct {
	_   struct{} `cbor:",toarray"`
	ID  runIDForm
	Age int64
}

type runReportForm struct {
	Agent        string               `cbor:"1,keyasint"`
	Announcement *runAnnouncementForm `cbor:"2,keyasint,omitempty"`
	List         *listForm            `cbor:"3,keyasint,omitempty"`
	Refused      []refusalForm        `cbor:"4,keyasint,omitempty"`
	Terminating  bool                 `cbor:"5,keyasint,omitempty"`
	Crashes      []crashForm          `cbor:"6,keyasint,omitempty"`
	Unreachable  bool                 `cbor:"7,keyasint,omitempty"`
	Truncated    bool                 `cbor:"8,keyasint,omitempty"` // of List, which cannot grow
	Exited       bool                 `cbor:"9,keyasint,omitempty"`
	SlowFor      int64                `cbor:"10,keyasint,omitempty"` // of Announcement, which cannot grow
	Speed        *speedForm           `cbor:"11,keyasint,omitempty"`
	// SettledOrders and RefusedOrders are the orders of the entries in List.Settled and Refused, which cannot grow. An agent
	// of an earlier version reports none.
	SettledOrders []orderIDForm `cbor:"12,keyasint,omitempty"`
	RefusedOrders []orderIDForm `cbor:"13,keyasint,omitempty"`
}

type orderIDForm struct {
	_            struct{} `cbor:",toarray"`
	FencingToken uint64
	Number       uint64
}

func newOrderIDForm(i run.OrderID) orderIDForm {
	return orderIDForm{FencingToken: i.FencingToken(), Number: i.Number()}
}

// orderAt returns the order at an index, or the zero value if there are fewer.
func orderAt(orders []orderIDForm, index int) run.OrderID {
	if index >= len(orders) {
		return run.OrderID{}
	}
	return run.NewOrderID(orders[index].FencingToken, orders[index].Number)
}

func newRunAnnouncementForm(a run.Announcement) *runAnnouncementForm {
	c := a.Capacity()
	return &runAnnouncementForm{
		Incarnation: newIncarnationForm(a.Incarnation()), Service: a.Service(), Zone: a.Zone(), Rack: a.Rack(), Labels: a.Labels(),
		Millicores: c.Millicores(), MemoryMB: c.MemoryMB(), Accelerators: c.Accelerators(),
		Draining: a.Draining(), Remaining: int64(a.Remaining()), Sequence: a.Sequence(), Clock: int64(a.Clock()),
		Machine: a.Machine(),
	}
}

func (f runAnnouncementForm) announcement() run.Announcement {
	a := run.NewAnnouncement(f.Incarnation.incarnation(), f.Service, f.Zone, f.Sequence).WithRack(f.Rack, f.Labels).
		WithCapacity(batch.NewResources(f.Millicores, f.MemoryMB, f.Accelerators)).WithClock(time.Duration(f.Clock)).
		WithMachine(f.Machine)
	if f.Draining {
		a = a.WithDraining(time.Duration(f.Remaining))
	}
	return a
}

func newListForm(l run.List) *listForm {
	f := &listForm{Incarnation: newIncarnationForm(l.Incarnation()), FencingToken: l.FencingToken(), Clock: int64(l.Clock())}
	for _, r := range l.Running() {
		f.Running = append(f.Running, runningForm{ID: newRunIDForm(r.ID()), Checkpoint: r.Checkpoint(), Percent: r.Percent(), Measurement: r.Measurement()})
	}
	for _, e := range l.Finished() {
		f.Finished = append(f.Finished, finishedForm{Number: e.Number(), End: newEndForm(e.End())})
	}
	for _, s := range l.Settled() {
		f.Settled = append(f.Settled, newRunIDForm(s.ID()))
	}
	return f
}

// fullProgress is the progress of a complete run, in percent. Durations are derived from the progress, and a value beyond it
// would make them 0.
const fullProgress = 100

func (f listForm) list(settledOrders []orderIDForm) run.List {
	running := make([]run.Running, len(f.Running))
	for i, r := range f.Running {
		running[i] = run.NewRunning(r.ID.id(), r.Checkpoint, min(max(r.Percent, 0), fullProgress), r.Measurement)
	}
	finished := make([]run.Finished, len(f.Finished))
	for i, e := range f.Finished {
		finished[i] = run.NewFinished(e.Number, e.End.end())
	}
	settled := make([]run.Settled, len(f.Settled))
	for i, s := range f.Settled {
		settled[i] = run.NewSettled(s.id(), orderAt(settledOrders, i))
	}
	return run.NewList(f.Incarnation.incarnation(), f.FencingToken, time.Duration(f.Clock), running, finished, settled)
}

// WriteRunReport writes an agent's report.
func WriteRunReport(w io.Writer, r run.Report) error {
	f := runReportForm{Agent: r.Agent(), Terminating: r.Terminating(), Unreachable: r.Unreachable(), Exited: r.Exited()}
	if a, ok := r.Announcement(); ok {
		f.Announcement, f.SlowFor = newRunAnnouncementForm(a), int64(a.SlowFor())
	}
	if l, ok := r.List(); ok {
		f.List, f.Truncated = newListForm(l), l.Truncated()
		for _, s := range l.Settled() {
			f.SettledOrders = append(f.SettledOrders, newOrderIDForm(s.OrderID()))
		}
	}
	for _, e := range r.Refused() {
		f.Refused = append(f.Refused, refusalForm{ID: newRunIDForm(e.ID()), Reason: e.Reason()})
		f.RefusedOrders = append(f.RefusedOrders, newOrderIDForm(e.OrderID()))
	}
	for _, c := range r.Crashes() {
		f.Crashes = append(f.Crashes, newCrashForm(c))
	}
	f.Speed = newSpeedForm(r.Speed())
	return writeFrame(w, f)
}

func newCrashForm(c run.Crash) crashForm {
	f := crashForm{Worker: newIncarnationForm(c.Worker())}
	for _, r := range c.Runs() {
		f.Runs = append(f.Runs, crashedRunForm{ID: newRunIDForm(r.ID()), Age: int64(r.Age())})
	}
	return f
}

func (f crashForm) crash() run.Crash {
	runs := make([]run.CrashedRun, len(f.Runs))
	for i, r := range f.Runs {
		runs[i] = run.NewCrashedRun(r.ID.id(), time.Duration(r.Age))
	}
	return run.NewCrash(f.Worker.incarnation(), runs...)
}

// ReadRunReport reads an agent's report.
func ReadRunReport(r io.Reader) (report run.Report, err error) {
	defer annotate("read report", &err)
	var f runReportForm
	if err = readFrame(r, &f, MaxFrameBytes); err != nil {
		return report, err
	}
	report = run.NewReport(f.Agent)
	if f.Announcement != nil {
		report = report.WithAnnouncement(f.Announcement.announcement().WithSlowStart(time.Duration(f.SlowFor)))
	}
	if f.List != nil {
		report = report.WithList(f.List.list(f.SettledOrders).WithTruncated(f.Truncated))
	}
	refused := make([]run.Refusal, len(f.Refused))
	for i, e := range f.Refused {
		refused[i] = run.NewRefusal(e.ID.id(), orderAt(f.RefusedOrders, i), e.Reason)
	}
	report = report.WithRefused(refused)
	if f.Terminating {
		report = report.WithTerminating()
	}
	if f.Exited {
		report = report.WithExited()
	}
	if f.Unreachable {
		report = report.WithUnreachable()
	}
	var crashes []run.Crash
	for _, c := range f.Crashes {
		crashes = append(crashes, c.crash())
	}
	report = report.WithCrashes(crashes)
	if f.Speed != nil {
		report = report.WithSpeed(f.Speed.speed())
	}
	return report, nil
}
