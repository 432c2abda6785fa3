package job

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Urgency is the priority class of a job among the jobs of its workspace.
type Urgency string

// The urgencies of jobs; Patient is the default.
const (
	Urgent  Urgency = "urgent"
	Patient Urgency = "patient"
)

// ParseUrgency returns the urgency of the given name, Patient for the empty one; it fails for an unknown name.
func ParseUrgency(s string) (u Urgency, err error) {
	switch u = Urgency(s); u {
	case Urgent, Patient:
		return u, nil
	case "":
		return Patient, nil
	default:
		return "", fmt.Errorf("urgency %q is neither urgent nor patient", s)
	}
}

// Spec describes a job as it was submitted; it is immutable.
type Spec struct {
	id             string
	workspace      string
	shape          workspace.Shape
	urgency        Urgency
	idempotent     bool
	checkpointable bool
	throttleable   bool
	runTime        time.Duration
	submittedAt    time.Time
	payload        string
}

// SpecOption sets an optional property of a Spec.
type SpecOption func(*Spec)

// WithUrgency sets the urgency; the default is Patient.
func WithUrgency(u Urgency) SpecOption { return func(s *Spec) { s.urgency = u } }

// WithIdempotent sets whether the job may run more than once; the default is false.
func WithIdempotent(yes bool) SpecOption { return func(s *Spec) { s.idempotent = yes } }

// WithCheckpointable sets whether the tasks can be checkpointed; the default is false.
func WithCheckpointable(yes bool) SpecOption { return func(s *Spec) { s.checkpointable = yes } }

// WithThrottleable sets whether the tasks can be throttled until they hold no accelerators; the default is false.
func WithThrottleable(yes bool) SpecOption { return func(s *Spec) { s.throttleable = yes } }

// WithRunTime sets the run time that the caller expects, which may be wrong.
func WithRunTime(d time.Duration) SpecOption { return func(s *Spec) { s.runTime = d } }

// WithPayload sets the instruction that the agents pass to the tasks.
func WithPayload(p string) SpecOption { return func(s *Spec) { s.payload = p } }

// NewSpec returns the spec of a job submitted at submittedAt; it fails if id or inWorkspace is empty.
func NewSpec(id, inWorkspace string, shape workspace.Shape, submittedAt time.Time, opts ...SpecOption) (s Spec, err error) {
	if id == "" || inWorkspace == "" {
		return Spec{}, fmt.Errorf("job %q: id and workspace are required", id)
	}
	s = Spec{id: id, workspace: inWorkspace, shape: shape, submittedAt: submittedAt, urgency: Patient}
	for _, o := range opts {
		o(&s)
	}
	return s, nil
}

// ID returns the ID of the job, which is never reused.
func (s Spec) ID() string { return s.id }

// Workspace returns the name of the workspace that the job counts against.
func (s Spec) Workspace() string { return s.workspace }

// Shape returns the number of members, the accelerators of each and their adjacency.
func (s Spec) Shape() workspace.Shape { return s.shape }

// Urgency returns the priority class of the job among those of its workspace.
func (s Spec) Urgency() Urgency { return s.urgency }

// Idempotent reports whether the job may run more than once.
func (s Spec) Idempotent() bool { return s.idempotent }

// Checkpointable reports whether the tasks can be checkpointed.
func (s Spec) Checkpointable() bool { return s.checkpointable }

// Throttleable reports whether the tasks can be throttled until they hold no accelerator.
func (s Spec) Throttleable() bool { return s.throttleable }

// RunTime returns the run time that the caller declared, 0 if none was declared.
func (s Spec) RunTime() time.Duration { return s.runTime }

// SubmittedAt returns when the leader accepted the job.
func (s Spec) SubmittedAt() time.Time { return s.submittedAt }

// Payload returns the instruction that the agents pass to the tasks.
func (s Spec) Payload() string { return s.payload }
