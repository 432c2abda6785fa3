package wire

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// commandKind identifies the command in a record.
type commandKind string

const (
	commandApply    commandKind = "apply"
	commandSubmit   commandKind = "submit"
	commandCancel   commandKind = "cancel"
	commandReserve  commandKind = "reserve"
	commandStart    commandKind = "start"
	commandStop     commandKind = "stop"
	commandThrottle commandKind = "throttle"
	commandRequeue  commandKind = "requeue"
	commandEnd      commandKind = "end"
	commandClaim    commandKind = "claim"
	commandSettle   commandKind = "settle"
	commandDrain    commandKind = "drain"
	commandEvacuate commandKind = "evacuate"
	commandExpire   commandKind = "expire"
)

// commandForm has the fields of all commands; each kind uses some of them.
type commandForm struct {
	Kind         commandKind  `cbor:"1,keyasint"`
	RequestID    string       `cbor:"2,keyasint,omitempty"`
	ID           string       `cbor:"3,keyasint,omitempty"`
	At           int64        `cbor:"4,keyasint,omitempty"`
	Spec         *specForm    `cbor:"7,keyasint,omitempty"`
	Members      []memberForm `cbor:"8,keyasint,omitempty"`
	FencingToken uint64       `cbor:"9,keyasint,omitempty"`
	Reason       string       `cbor:"10,keyasint,omitempty"`
	Result       job.Result   `cbor:"11,keyasint,omitempty"`
	Workspace    string       `cbor:"12,keyasint,omitempty"`
	Key          string       `cbor:"13,keyasint,omitempty"`
	Fingerprint  string       `cbor:"14,keyasint,omitempty"`
	Until        int64        `cbor:"15,keyasint,omitempty"`
	Number       uint64       `cbor:"16,keyasint,omitempty"`
	Ending       *endingForm  `cbor:"17,keyasint,omitempty"`
	Drained      bool         `cbor:"18,keyasint,omitempty"`
	Length       int64        `cbor:"19,keyasint,omitempty"`
	Attempt      string       `cbor:"20,keyasint,omitempty"`
	Speed        job.Speed    `cbor:"21,keyasint,omitempty"`
	Delta        *deltaForm   `cbor:"22,keyasint,omitempty"`
	Evacuated    bool         `cbor:"23,keyasint,omitempty"`
}

type endingForm struct {
	Outcome outcome.Outcome     `cbor:"1,keyasint,omitempty"`
	Status  int                 `cbor:"2,keyasint,omitempty"`
	Headers map[string][]string `cbor:"3,keyasint,omitempty"`
	Body    []byte              `cbor:"4,keyasint,omitempty"`
	Kept    bool                `cbor:"5,keyasint,omitempty"`
}

// EncodeCommand returns the ledger's record of a command.
func EncodeCommand(c registry.Command) (data []byte, err error) {
	defer annotate("encode command", &err)
	return cbor.Marshal(fromCommand(c))
}

// DecodeCommand returns the command that a record of the ledger contains.
func DecodeCommand(data []byte) (c registry.Command, err error) {
	defer annotate("decode command", &err)
	var f commandForm
	if err = cbor.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	return f.command()
}

func fromCommand(c registry.Command) commandForm {
	switch t := c.(type) {
	case registry.ApplyConfig:
		m := fromDelta(t.Delta())
		return commandForm{Kind: commandApply, RequestID: t.RequestID(), Delta: &m, At: toNanos(t.ProposedAt())}
	case registry.SubmitJob:
		m := fromSpec(t.Spec())
		return commandForm{Kind: commandSubmit, RequestID: t.RequestID(), Spec: &m, At: toNanos(t.ProposedAt())}
	case registry.CancelJob:
		return commandForm{
			Kind: commandCancel, RequestID: t.RequestID(), ID: t.ID(), Workspace: t.Workspace(), At: toNanos(t.ProposedAt()),
		}
	case registry.ReserveGang:
		return commandForm{
			Kind: commandReserve, ID: t.ID(), Members: fromMembers(t.Members()), Length: int64(t.LeaseDuration()),
		}
	case registry.StartGang:
		return commandForm{Kind: commandStart, ID: t.ID(), FencingToken: uint64(t.FencingToken())}
	case registry.StopGang:
		return commandForm{Kind: commandStop, ID: t.ID(), FencingToken: uint64(t.FencingToken()), Reason: t.Reason()}
	case registry.ThrottleGang:
		return commandForm{Kind: commandThrottle, ID: t.ID(), FencingToken: uint64(t.FencingToken()), Speed: t.Speed(), Reason: t.Reason()}
	case registry.RequeueJob:
		return commandForm{Kind: commandRequeue, ID: t.ID(), FencingToken: uint64(t.FencingToken()), Reason: t.Reason(), Until: toNanos(t.NotBefore())}
	case registry.EndJob:
		return commandForm{
			Kind: commandEnd, ID: t.ID(), FencingToken: uint64(t.FencingToken()), Result: t.Result(), Reason: t.Reason(),
			At: toNanos(t.ProposedAt()),
		}
	case registry.ClaimKey:
		return commandForm{
			Kind: commandClaim, Workspace: t.Workspace(), Key: t.Key(), Fingerprint: t.Fingerprint(),
			Until: toNanos(t.Deadline()), At: toNanos(t.ProposedAt()), Attempt: t.AttemptID(),
		}
	case registry.SettleKey:
		e := fromEnding(t.Result())
		return commandForm{
			Kind: commandSettle, Workspace: t.Workspace(), Key: t.Key(), Number: t.AttemptNumber(), Ending: &e,
			At: toNanos(t.ProposedAt()),
		}
	case registry.DrainEndpoint:
		return commandForm{
			Kind: commandDrain, RequestID: t.RequestID(), ID: t.Name(), Drained: t.Drained(), At: toNanos(t.ProposedAt()),
		}
	case registry.EvacuateZone:
		e := t.Evacuation()
		return commandForm{
			Kind: commandEvacuate, RequestID: t.RequestID(), ID: e.Zone(), Reason: e.Reason(), Evacuated: t.Evacuated(), At: toNanos(e.Since()),
		}
	case registry.Expire:
		return commandForm{Kind: commandExpire, At: toNanos(t.RecordsBefore()), Until: toNanos(t.ResponsesBefore())}
	}
	return commandForm{}
}

func (f commandForm) command() (c registry.Command, err error) {
	at, token := fromNanos(f.At), lease.FencingToken(f.FencingToken)
	switch f.Kind {
	case commandApply, commandSubmit:
		return f.applyOrSubmit()
	case commandCancel:
		return registry.NewCancelJob(f.RequestID, f.ID, f.Workspace, at), nil
	case commandReserve:
		return registry.NewReserveGang(f.ID, toMembers(f.Members), time.Duration(f.Length)), nil
	case commandStart:
		return registry.NewStartGang(f.ID, token), nil
	case commandStop:
		return registry.NewStopGang(f.ID, token, f.Reason), nil
	case commandThrottle:
		return registry.NewThrottleGang(f.ID, token, f.Speed, f.Reason), nil
	case commandRequeue:
		return registry.NewRequeueJob(f.ID, token, f.Reason, fromNanos(f.Until)), nil
	case commandEnd:
		return registry.NewEndJob(f.ID, token, f.Result, f.Reason, at), nil
	case commandClaim:
		return registry.NewClaimKey(f.Workspace, f.Key, f.Fingerprint, fromNanos(f.Until), at).WithAttemptID(f.Attempt), nil
	case commandSettle:
		if f.Ending == nil {
			return nil, fmt.Errorf("command %q lacks its ending", f.Kind)
		}
		return registry.NewSettleKey(f.Workspace, f.Key, f.Number, f.Ending.ending(), at), nil
	case commandDrain:
		return registry.NewDrainEndpoint(f.RequestID, f.ID, f.Drained, at), nil
	case commandEvacuate:
		return registry.NewEvacuateZone(f.RequestID, f.ID, f.Reason, f.Evacuated, at), nil
	case commandExpire:
		return registry.NewExpire(at, fromNanos(f.Until)), nil
	default:
		return nil, fmt.Errorf("command of unknown kind %q", f.Kind)
	}
}

// applyOrSubmit returns a command that carries a configuration change or a job specification; it fails if that is
// missing or invalid.
func (f commandForm) applyOrSubmit() (c registry.Command, err error) {
	at := fromNanos(f.At)
	switch {
	case f.Kind == commandApply && f.Delta != nil:
		delta, err := f.Delta.delta()
		if err != nil {
			return nil, err
		}
		return registry.NewApplyConfig(f.RequestID, delta, at), nil
	case f.Kind == commandSubmit && f.Spec != nil:
		spec, err := f.Spec.spec()
		if err != nil {
			return nil, err
		}
		return registry.NewSubmitJob(f.RequestID, spec, at), nil
	default:
		return nil, fmt.Errorf("command %q lacks its declaration", f.Kind)
	}
}

func fromEnding(e registry.AttemptResult) endingForm {
	return endingForm{Outcome: e.Outcome(), Status: e.Status(), Headers: e.Headers(), Body: e.Body(), Kept: e.HasResponse()}
}

func (f endingForm) ending() registry.AttemptResult {
	e := registry.NewAttemptResult(f.Outcome, f.Status)
	if f.Kept {
		e = e.WithResponse(f.Headers, f.Body)
	}
	return e
}
