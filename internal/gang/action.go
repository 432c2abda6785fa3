package gang

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/task"
)

// Action is one thing that the leader does for a job.
//
//sumtype:decl
type Action interface {
	action()
}

// Send gives an order to the agent of a worker.
type Send struct {
	worker string
	order  task.Order
}

// Start commits that the job starts; after that it may have run.
type Start struct{}

// Stop commits that all members are to be stopped.
type Stop struct {
	reason string
}

// MarkThrottled commits that all members are throttled, so that their accelerators may be given away.
type MarkThrottled struct{}

// Requeue commits that the job waits again, all members being over.
type Requeue struct {
	reason    string
	notBefore time.Time
}

// End commits the result of the job, all members being over.
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

// Worker returns the name of the worker.
func (s Send) Worker() string { return s.worker }

// Order returns the order.
func (s Send) Order() task.Order { return s.order }

// Reason returns why the members are stopped, for people.
func (s Stop) Reason() string { return s.reason }

// Reason returns why the job waits again, for people.
func (r Requeue) Reason() string { return r.reason }

// NotBefore returns when the job may be placed again.
func (r Requeue) NotBefore() time.Time { return r.notBefore }

// Result returns how the job ended.
func (e End) Result() job.Result { return e.result }

// Reason returns the reason for people.
func (e End) Reason() string { return e.reason }
