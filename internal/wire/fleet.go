package wire

import (
	"io"
	"time"

	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

type endpointForm struct {
	Name         string              `cbor:"1,keyasint"`
	Region       string              `cbor:"2,keyasint"`
	Zone         string              `cbor:"3,keyasint"`
	Rack         string              `cbor:"4,keyasint"`
	Cores        int                 `cbor:"5,keyasint,omitempty"`
	MemoryMB     int                 `cbor:"6,keyasint,omitempty"`
	Accelerators int                 `cbor:"7,keyasint,omitempty"`
	Address      string              `cbor:"8,keyasint"`
	Slots        int                 `cbor:"9,keyasint"`
	Connections  int                 `cbor:"10,keyasint"`
	Incarnation  uint64              `cbor:"11,keyasint"`
	State        fleet.EndpointState `cbor:"12,keyasint"`
}

type reportForm struct {
	Job          string     `cbor:"1,keyasint"`
	Index        int        `cbor:"2,keyasint"`
	FencingToken uint64     `cbor:"3,keyasint"`
	State        task.State `cbor:"4,keyasint"`
}

type announcementForm struct {
	Endpoint *endpointForm `cbor:"1,keyasint,omitempty"`
	InFlight int           `cbor:"2,keyasint,omitempty"`
	Tasks    []reportForm  `cbor:"3,keyasint,omitempty"`
}

type receiptForm struct {
	Lease   int64 `cbor:"1,keyasint"`
	Drained bool  `cbor:"2,keyasint,omitempty"`
}

type updateForm struct {
	Full     bool           `cbor:"1,keyasint,omitempty"`
	Revision uint64         `cbor:"2,keyasint"`
	Changed  []endpointForm `cbor:"3,keyasint,omitempty"`
	Removed  []string       `cbor:"4,keyasint,omitempty"`
	Config   *deltaForm     `cbor:"5,keyasint,omitempty"`
}

// WriteAnnouncement writes an agent's announcement of its endpoint with the endpoint's load and tasks.
func WriteAnnouncement(w io.Writer, a fleet.Announcement) error {
	e := fromEndpoint(a.Endpoint())
	m := announcementForm{Endpoint: &e, InFlight: a.InFlight()}
	for _, t := range a.Tasks() {
		m.Tasks = append(m.Tasks, fromReport(t))
	}
	return writeFrame(w, m)
}

// WriteRenewal writes an announcement that differs from the last one of the stream only in the number of requests in
// flight.
func WriteRenewal(w io.Writer, inFlight int) error {
	return writeFrame(w, announcementForm{InFlight: inFlight})
}

// ReadAnnouncement reads an agent's announcement of its endpoint; a renewal takes what it omits from last, the previous
// announcement of the stream.
func ReadAnnouncement(r io.Reader, last fleet.Announcement) (a fleet.Announcement, err error) {
	defer annotate("read announcement", &err)
	var m announcementForm
	if err = readFrame(r, &m, MaxFrameBytes); err != nil {
		return fleet.Announcement{}, err
	}
	if m.Endpoint == nil {
		return fleet.NewAnnouncement(last.Endpoint(), m.InFlight, last.Tasks()), nil
	}
	tasks := make([]task.Report, len(m.Tasks))
	for i, t := range m.Tasks {
		tasks[i] = t.report()
	}
	return fleet.NewAnnouncement(m.Endpoint.endpoint(), m.InFlight, tasks), nil
}

// WriteReceipt writes the leader's reply to an announcement.
func WriteReceipt(w io.Writer, r fleet.Receipt) error {
	return writeFrame(w, receiptForm{Lease: int64(r.LeaseDuration()), Drained: r.Drained()})
}

// ReadReceipt reads the leader's reply to an announcement.
func ReadReceipt(r io.Reader) (receipt fleet.Receipt, err error) {
	defer annotate("read receipt", &err)
	var m receiptForm
	if err = readFrame(r, &m, MaxFrameBytes); err != nil {
		return fleet.Receipt{}, err
	}
	return fleet.NewReceipt(time.Duration(m.Lease), m.Drained), nil
}

// WriteUpdate writes a change of the fleet and, if it changed as well, of the configuration for a watcher.
func WriteUpdate(w io.Writer, u fleet.Update) error {
	m := updateForm{Full: u.Full(), Revision: u.Revision(), Removed: u.Removed()}
	for _, e := range u.Changed() {
		m.Changed = append(m.Changed, fromEndpoint(e))
	}
	if d, ok := u.Config(); ok {
		f := fromDelta(d)
		m.Config = &f
	}
	return writeFrame(w, m)
}

// ReadUpdate reads a change of the fleet and, if the message has one, of the configuration.
func ReadUpdate(r io.Reader) (u fleet.Update, err error) {
	defer annotate("read update", &err)
	var m updateForm
	if err = readFrame(r, &m, MaxFrameBytes); err != nil {
		return fleet.Update{}, err
	}
	changed := make([]fleet.Endpoint, len(m.Changed))
	for i, e := range m.Changed {
		changed[i] = e.endpoint()
	}
	u = fleet.NewUpdate(m.Full, m.Revision, changed, m.Removed)
	if m.Config == nil {
		return u, nil
	}
	d, err := m.Config.delta()
	if err != nil {
		return fleet.Update{}, err
	}
	return u.WithConfig(d), nil
}

func fromEndpoint(e fleet.Endpoint) endpointForm {
	w := e.Worker()
	return endpointForm{
		Name: w.Name(), Region: string(w.Region()), Zone: string(w.AvailabilityZone()), Rack: string(w.Rack()),
		Cores: w.Cores(), MemoryMB: w.MemoryMB(), Accelerators: w.Accelerators(), Address: e.Address(),
		Slots: e.Slots(), Connections: e.Connections(), Incarnation: e.Incarnation(), State: e.State(),
	}
}

func (f endpointForm) endpoint() fleet.Endpoint {
	w := fleet.NewWorker(f.Name, fleet.Region(f.Region), fleet.AvailabilityZone(f.Zone), fleet.Rack(f.Rack)).
		WithResources(f.Cores, f.MemoryMB, f.Accelerators)
	return fleet.NewEndpoint(w, f.Address, f.Slots, f.Connections, f.Incarnation).WithState(f.State)
}

func fromReport(r task.Report) reportForm {
	return reportForm{Job: r.ID().Job(), Index: r.ID().Index(), FencingToken: uint64(r.FencingToken()), State: r.State()}
}

func (f reportForm) report() task.Report {
	return task.NewReport(task.NewID(f.Job, f.Index), lease.FencingToken(f.FencingToken), f.State)
}
