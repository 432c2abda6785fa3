package client

import "time"

// Submission is a job to be submitted.
type Submission struct{ body SubmitBody }

// SubmitOption sets a part of a Submission.
type SubmitOption func(*SubmitBody)

// NewSubmission returns a patient job of members with accelerators each and an adjacency: worker, rack, availability-zone or any.
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

// WithUrgent marks the job as urgent.
func WithUrgent() SubmitOption { return func(b *SubmitBody) { b.Urgency = "urgent" } }

// WithIdempotent marks the job as one that may run more than once.
func WithIdempotent() SubmitOption { return func(b *SubmitBody) { b.Idempotent = true } }

// WithCheckpointable marks the job as one whose tasks can be checkpointed.
func WithCheckpointable() SubmitOption { return func(b *SubmitBody) { b.Checkpointable = true } }

// WithThrottleable marks the job as one whose tasks can be throttled until they hold no accelerator.
func WithThrottleable() SubmitOption { return func(b *SubmitBody) { b.Throttleable = true } }

// WithRunTime declares the run time.
func WithRunTime(d time.Duration) SubmitOption {
	return func(b *SubmitBody) { b.RunTimeS = d.Seconds() }
}

// WithPayload sets what the tasks are told to do.
func WithPayload(payload string) SubmitOption { return func(b *SubmitBody) { b.Payload = payload } }
