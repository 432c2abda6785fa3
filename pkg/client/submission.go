package client

import "time"

// Submission describes a job for Operator.Submit.
type Submission struct{ body SubmitBody }

// SubmitOption configures a Submission.
type SubmitOption func(*SubmitBody)

// NewSubmission returns the submission of a patient job. Each of its members gets the given number of accelerators, and
// adjacency states where they must be together: worker, rack, availability-zone or any.
func NewSubmission(workspace string, members, accelerators int, adjacency string, list ...SubmitOption) (s Submission) {
	s.body = SubmitBody{
		Workspace: workspace, Urgency: "patient",
		Shape: ShapeBody{Members: members, Accelerators: accelerators, Adjacency: adjacency},
	}
	for _, set := range list {
		set(&s.body)
	}
	return s
}

// WithUrgent marks the job as urgent instead of patient.
func WithUrgent() SubmitOption { return func(b *SubmitBody) { b.Urgency = "urgent" } }

// WithIdempotent states that the job may run more than once, so that it is queued again after a loss.
func WithIdempotent() SubmitOption { return func(b *SubmitBody) { b.Idempotent = true } }

// WithCheckpointable states that the tasks can write a checkpoint before they are stopped.
func WithCheckpointable() SubmitOption { return func(b *SubmitBody) { b.Checkpointable = true } }

// WithThrottleable states that the tasks can be throttled until they hold no accelerators.
func WithThrottleable() SubmitOption { return func(b *SubmitBody) { b.Throttleable = true } }

// WithRunTime declares the expected run time.
func WithRunTime(d time.Duration) SubmitOption {
	return func(b *SubmitBody) { b.RunTimeS = d.Seconds() }
}

// WithPayload sets the instruction that the agents pass to the tasks.
func WithPayload(payload string) SubmitOption { return func(b *SubmitBody) { b.Payload = payload } }
