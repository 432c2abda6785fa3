package wire

import (
	"time"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
)

type specForm struct {
	ID             string      `cbor:"1,keyasint"`
	Workspace      string      `cbor:"2,keyasint"`
	Shape          shapeForm   `cbor:"3,keyasint"`
	Urgency        job.Urgency `cbor:"4,keyasint"`
	Idempotent     bool        `cbor:"5,keyasint,omitempty"`
	Checkpointable bool        `cbor:"6,keyasint,omitempty"`
	RunTime        int64       `cbor:"7,keyasint,omitempty"`
	SubmittedAt    int64       `cbor:"8,keyasint"`
	Payload        string      `cbor:"9,keyasint,omitempty"`
	Throttleable   bool        `cbor:"10,keyasint,omitempty"`
}

type memberForm struct {
	Index        int    `cbor:"1,keyasint"`
	Worker       string `cbor:"2,keyasint"`
	Accelerators int    `cbor:"3,keyasint"`
}

type jobForm struct {
	Spec         specForm     `cbor:"1,keyasint"`
	State        job.State    `cbor:"2,keyasint"`
	Result       job.Result   `cbor:"3,keyasint,omitempty"`
	Reason       string       `cbor:"4,keyasint,omitempty"`
	FencingToken uint64       `cbor:"5,keyasint,omitempty"`
	Attempts     int          `cbor:"6,keyasint,omitempty"`
	Members      []memberForm `cbor:"7,keyasint,omitempty"`
	EndedAt      int64        `cbor:"8,keyasint,omitempty"`
	Setbacks     int          `cbor:"9,keyasint,omitempty"`
	NotBefore    int64        `cbor:"10,keyasint,omitempty"`
	Lease        int64        `cbor:"11,keyasint,omitempty"`
	Speed        job.Speed    `cbor:"12,keyasint,omitempty"`
}

func fromSpec(s job.Spec) specForm {
	return specForm{
		ID: s.ID(), Workspace: s.Workspace(), Shape: fromShape(s.Shape()), Urgency: s.Urgency(),
		Idempotent: s.Idempotent(), Checkpointable: s.Checkpointable(), RunTime: int64(s.RunTime()),
		SubmittedAt: toNanos(s.SubmittedAt()), Payload: s.Payload(), Throttleable: s.Throttleable(),
	}
}

func (f specForm) spec() (s job.Spec, err error) {
	shape, err := f.Shape.shape()
	if err != nil {
		return job.Spec{}, err
	}
	return job.NewSpec(f.ID, f.Workspace, shape, fromNanos(f.SubmittedAt),
		job.WithUrgency(f.Urgency), job.WithIdempotent(f.Idempotent), job.WithCheckpointable(f.Checkpointable),
		job.WithRunTime(time.Duration(f.RunTime)), job.WithPayload(f.Payload),
		job.WithThrottleable(f.Throttleable))
}

func fromMembers(members []job.Member) []memberForm {
	forms := make([]memberForm, len(members))
	for i, m := range members {
		forms[i] = memberForm{Index: m.Index(), Worker: m.Worker(), Accelerators: m.Accelerators()}
	}
	return forms
}

func toMembers(forms []memberForm) []job.Member {
	members := make([]job.Member, len(forms))
	for i, f := range forms {
		members[i] = job.NewMember(f.Index, f.Worker, f.Accelerators)
	}
	return members
}

func fromJob(j job.Job) jobForm {
	return jobForm{
		Spec: fromSpec(j.Spec()), State: j.State(), Result: j.Result(), Reason: j.Reason(),
		FencingToken: uint64(j.FencingToken()), Attempts: j.Attempts(), Members: fromMembers(j.Members()),
		EndedAt: toNanos(j.EndTime()), Setbacks: j.FailedReservations(), NotBefore: toNanos(j.NotBefore()),
		Lease: int64(j.LeaseDuration()), Speed: j.Speed(),
	}
}

func (f jobForm) job() (j job.Job, err error) {
	spec, err := f.Spec.spec()
	if err != nil {
		return job.Job{}, err
	}
	p := job.NewProgress(f.State, f.Result, f.Reason, lease.FencingToken(f.FencingToken), f.Attempts, fromNanos(f.EndedAt)).
		WithFailedReservations(f.Setbacks, fromNanos(f.NotBefore))
	return job.Restore(spec, p, toMembers(f.Members)).WithLeaseDuration(time.Duration(f.Lease)).WithSpeed(f.Speed), nil
}
