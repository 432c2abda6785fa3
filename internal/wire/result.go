package wire

import (
	"fmt"
	"io"

	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/registry"
)

// resultKind identifies the result in a message.
type resultKind string

const (
	resultAccepted resultKind = "accepted"
	resultConflict resultKind = "conflict"
	resultDenied   resultKind = "denied"
	resultClaimed  resultKind = "claimed"
	resultKnown    resultKind = "known"
)

type claimForm struct {
	Workspace   string     `cbor:"1,keyasint"`
	Key         string     `cbor:"2,keyasint"`
	Fingerprint string     `cbor:"3,keyasint"`
	Number      uint64     `cbor:"4,keyasint"`
	Until       int64      `cbor:"5,keyasint"`
	At          int64      `cbor:"6,keyasint"`
	Ending      endingForm `cbor:"7,keyasint"`
	Attempt     string     `cbor:"8,keyasint,omitempty"`
}

type resultForm struct {
	Kind         resultKind `cbor:"1,keyasint"`
	Revision     uint64     `cbor:"2,keyasint,omitempty"`
	JobID        string     `cbor:"3,keyasint,omitempty"`
	FencingToken uint64     `cbor:"4,keyasint,omitempty"`
	Reason       string     `cbor:"5,keyasint,omitempty"`
	Number       uint64     `cbor:"6,keyasint,omitempty"`
	Claim        *claimForm `cbor:"7,keyasint,omitempty"`
}

// WriteCommand writes a command that an entry proposes to the leader.
func WriteCommand(w io.Writer, c registry.Command) error {
	return writeFrame(w, fromCommand(c))
}

// ReadCommand reads a command that an entry proposes to the leader.
func ReadCommand(r io.Reader) (c registry.Command, err error) {
	defer annotate("read command", &err)
	var f commandForm
	if err = readFrame(r, &f, MaxFrameBytes); err != nil {
		return nil, err
	}
	return f.command()
}

// WriteResult writes the result of a command that was applied to the state machine.
func WriteResult(w io.Writer, r registry.Result) error { return writeFrame(w, fromResult(r)) }

// ReadResult reads the result of a command that was applied to the state machine.
func ReadResult(r io.Reader) (result registry.Result, err error) {
	defer annotate("read result", &err)
	var f resultForm
	if err = readFrame(r, &f, MaxFrameBytes); err != nil {
		return nil, unexpectedEOF(err)
	}
	return f.result()
}

func fromResult(r registry.Result) resultForm {
	switch t := r.(type) {
	case registry.Accepted:
		return resultForm{Kind: resultAccepted, Revision: t.Revision(), JobID: t.JobID(), FencingToken: uint64(t.FencingToken())}
	case registry.Conflict:
		return resultForm{Kind: resultConflict, Revision: t.Revision()}
	case registry.Denied:
		return resultForm{Kind: resultDenied, Reason: t.Reason()}
	case registry.Claimed:
		return resultForm{Kind: resultClaimed, Number: t.AttemptNumber()}
	case registry.AlreadyClaimed:
		c := fromClaim(t.Claim())
		return resultForm{Kind: resultKnown, Claim: &c}
	}
	return resultForm{}
}

func (f resultForm) result() (registry.Result, error) {
	switch f.Kind {
	case resultAccepted:
		return registry.NewAccepted(f.Revision, f.JobID, lease.FencingToken(f.FencingToken)), nil
	case resultConflict:
		return registry.NewConflict(f.Revision), nil
	case resultDenied:
		return registry.NewDenied(f.Reason), nil
	case resultClaimed:
		return registry.NewClaimed(f.Number), nil
	case resultKnown:
		if f.Claim == nil {
			return nil, fmt.Errorf("result %q lacks its claim", f.Kind)
		}
		return registry.NewAlreadyClaimed(f.Claim.claim()), nil
	default:
		return nil, fmt.Errorf("result of unknown kind %q", f.Kind)
	}
}

func fromClaim(c registry.Claim) claimForm {
	return claimForm{
		Workspace: c.Workspace(), Key: c.Key(), Fingerprint: c.Fingerprint(), Number: c.AttemptNumber(),
		Until: toNanos(c.Deadline()), At: toNanos(c.UpdatedAt()), Ending: fromEnding(c.Result()), Attempt: c.AttemptID(),
	}
}

func (f claimForm) claim() registry.Claim {
	c := registry.NewClaim(f.Workspace, f.Key, f.Fingerprint, f.Number, fromNanos(f.Until), fromNanos(f.At))
	return c.WithAttemptID(f.Attempt).WithResult(f.Ending.ending(), fromNanos(f.At))
}
