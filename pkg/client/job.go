package client

import (
	"encoding/json"
	"fmt"
)

// Job is the state of a job as a control host reported it.
type Job struct{ body JobBody }

// ID returns the id: "j-" followed by the request id of the submission.
func (j Job) ID() string { return j.body.ID }

// Workspace returns the name of the workspace that the job was submitted to.
func (j Job) Workspace() string { return j.body.Workspace }

// State returns queued, reserved, started, stopping or done.
func (j Job) State() string { return j.body.State }

// Result returns the result of a job that is done, such as succeeded or may-have-run, and "" before.
func (j Job) Result() string { return j.body.Result }

// Reason returns a short explanation, for people, of the state or result; it may be empty.
func (j Job) Reason() string { return j.body.Reason }

// Urgency returns urgent or patient, as submitted.
func (j Job) Urgency() string { return j.body.Urgency }

// FencingToken returns the fencing token of the latest reservation, 0 before the first.
func (j Job) FencingToken() uint64 { return j.body.FencingToken }

// Attempts returns how many times the job was started.
func (j Job) Attempts() int { return j.body.Attempts }

// Workers returns the worker of each member, in the order of the members; it is empty for a job that is not placed.
func (j Job) Workers() []string {
	workers := make([]string, len(j.body.Members))
	for i, m := range j.body.Members {
		workers[i] = m.Worker
	}
	return workers
}

// Shape returns the shape as text: members x accelerators of each member / adjacency, such as 2x8/rack.
func (j Job) Shape() string {
	s := j.body.Shape
	return fmt.Sprintf("%dx%d/%s", s.Members, s.Accelerators, s.Adjacency)
}

// MarshalJSON encodes the fields that the control host sent.
func (j Job) MarshalJSON() ([]byte, error) { return json.Marshal(j.body) }

// Explanation is the answer of Operator.Explain.
type Explanation struct{ body ExplainBody }

// ID returns the id of the explained job.
func (e Explanation) ID() string { return e.body.ID }

// Text returns, for people, why the job is in its state and, while it waits, what it waits for.
func (e Explanation) Text() string { return e.body.Explanation }

// MarshalJSON encodes the fields that the control host sent.
func (e Explanation) MarshalJSON() ([]byte, error) { return json.Marshal(e.body) }
