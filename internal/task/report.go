package task

import "rosemarywind.example/rosemarywind/internal/lease"

// State is the state of a task as its worker reports it.
type State string

// The states of a task; the last four are final.
const (
	Reserved  State = "reserved"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Stopped   State = "stopped"
	Expired   State = "expired"
)

// Final reports whether the task has ended and holds no accelerators.
func (s State) Final() bool {
	switch s {
	case Succeeded, Failed, Stopped, Expired:
		return true
	case Reserved, Running:
		return false
	default:
		return false
	}
}

// Report is a worker's report on the state of one task.
type Report struct {
	id           ID
	fencingToken lease.FencingToken
	state        State
}

// NewReport returns a report on the task that was reserved under the given fencing token.
func NewReport(id ID, fencingToken lease.FencingToken, state State) Report {
	return Report{id: id, fencingToken: fencingToken, state: state}
}

// ID returns the ID of the member that the task belongs to.
func (r Report) ID() ID { return r.id }

// FencingToken returns the fencing token under which the task was reserved.
func (r Report) FencingToken() lease.FencingToken { return r.fencingToken }

// State returns the state of the task at the time of the report.
func (r Report) State() State { return r.state }

// Answer tells whether a worker accepted an order.
type Answer string

// The answers to an order; with Unanswered it is unknown whether the worker carried the order out.
const (
	Accepted   Answer = "accepted"
	Refused    Answer = "refused"
	Unanswered Answer = "unanswered"
)

// Reply is an agent's reply to one order.
type Reply struct {
	answer  Answer
	message string
}

// NewReply returns the reply to an order; message tells why it was not accepted, and is empty if it was.
func NewReply(answer Answer, message string) Reply {
	return Reply{answer: answer, message: message}
}

// Answer returns whether the worker accepted the order, Unanswered if that is unknown.
func (r Reply) Answer() Answer { return r.answer }

// Message returns why the order was not accepted, empty if it was.
func (r Reply) Message() string { return r.message }
