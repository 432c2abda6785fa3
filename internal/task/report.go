package task

import "rosemarywind.example/rosemarywind/internal/lease"

// State is what a worker says of a task.
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

// Final reports whether the task holds no accelerators any more.
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

// Report is the state of one task on one worker.
type Report struct {
	id    ID
	fence lease.FencingToken
	state State
}

// NewReport returns a report.
func NewReport(id ID, fence lease.FencingToken, state State) Report {
	return Report{id: id, fence: fence, state: state}
}

// ID returns the member.
func (r Report) ID() ID { return r.id }

// Fence returns the fencing number under which the task was reserved.
func (r Report) Fence() lease.FencingToken { return r.fence }

// State returns what the worker says of the task.
func (r Report) State() State { return r.state }

// Answer says what became of an order.
type Answer string

// The answers to an order; Unanswered leaves it open whether the worker carried it out.
const (
	Accepted   Answer = "accepted"
	Refused    Answer = "refused"
	Unanswered Answer = "unanswered"
)

// Reply is an agent's answer to one order.
type Reply struct {
	answer  Answer
	message string
}

// NewReply returns the answer to an order; the message says why it was not accepted.
func NewReply(answer Answer, message string) Reply {
	return Reply{answer: answer, message: message}
}

// Answer returns what became of the order.
func (r Reply) Answer() Answer { return r.answer }

// Message returns why the order was not accepted.
func (r Reply) Message() string { return r.message }
