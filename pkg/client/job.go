package client

import (
	"encoding/json"
	"fmt"
)

// Job is a job as a control host reported it.
type Job struct{ body JobBody }

// ID returns the id that the control hosts gave.
func (j Job) ID() string { return j.body.ID }

// Workspace returns the workspace of the job.
func (j Job) Workspace() string { return j.body.Workspace }

// State returns how far the job has come.
func (j Job) State() string { return j.body.State }

// Result returns how the job ended, "" before that.
func (j Job) Result() string { return j.body.Result }

// Reason returns why the job is in its state.
func (j Job) Reason() string { return j.body.Reason }

// Urgency returns urgent or patient.
func (j Job) Urgency() string { return j.body.Urgency }

// Fence returns the fencing number of the latest reservation.
func (j Job) Fence() uint64 { return j.body.Fence }

// Attempts returns the number of starts.
func (j Job) Attempts() int { return j.body.Attempts }

// Workers returns the workers of the members in the order of the members.
func (j Job) Workers() []string {
	workers := make([]string, len(j.body.Members))
	for i, m := range j.body.Members {
		workers[i] = m.Worker
	}
	return workers
}

// Shape returns the shape as members x accelerators and adjacency.
func (j Job) Shape() string {
	s := j.body.Shape
	return fmt.Sprintf("%dx%d/%s", s.Members, s.Accelerators, s.Adjacency)
}

// MarshalJSON returns the job as the control host sent it.
func (j Job) MarshalJSON() ([]byte, error) { return json.Marshal(j.body) }

// Explanation says why a job is in its state.
type Explanation struct{ body ExplainBody }

// ID returns the id of the job.
func (e Explanation) ID() string { return e.body.ID }

// Text returns why the job is in its state.
func (e Explanation) Text() string { return e.body.Explanation }

// MarshalJSON returns the explanation as the control host sent it.
func (e Explanation) MarshalJSON() ([]byte, error) { return json.Marshal(e.body) }
