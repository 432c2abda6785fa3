package gang

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/task"
)

// Action is one step that the leader takes for a placed job: an order to send, or a command to commit.
//
//sumtype:decl
type Action interface {
	action()
}

// Send sends an order to the agent of a worker.
type Send struct {
	worker string
	order  task.Order
}

// Start commits that the job starts; from then on it may have run.
type Start struct{}

// Stop commits that the job is stopping, after which all members are ordered to stop.
type Stop struct {
	reason string
}

// MarkThrottled commits that all members are throttled, so that other jobs may get their accelerators.
type MarkThrottled struct{}

// Requeue commits that the job is queued again, after all members have released their accelerators.
type Requeue struct {
	reason    string
	notBefore time.Time
}

// End commits the result of the job, after all members have released their accelerators.
type End struct {
	result job.Result
	reason string
}

func (Send) action()          {}
func (Start) action()         {}
func (Stop) action()          {}
func (MarkThrottled) action() {}
func (Requeue) action()       {}
func (End) action()           {}

// Worker returns the name of the worker whose agent gets the order.
func (s Send) Worker() string { return s.worker }

// Order returns the order to one member of the job.
func (s Send) Order() task.Order { return s.order }

// Reason returns why the members are stopped, as free text for operators.
func (s Stop) Reason() string { return s.reason }

// Reason returns why the job is queued again, as free text for operators.
func (r Requeue) Reason() string { return r.reason }

// NotBefore returns the earliest time at which the job may be placed again.
func (r Requeue) NotBefore() time.Time { return r.notBefore }

// Result returns the result that the job gets.
func (e End) Result() job.Result { return e.result }

// Reason returns why the job ended, as free text for operators.
func (e End) Reason() string { return e.reason }
