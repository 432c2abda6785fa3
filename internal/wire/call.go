package wire

import (
	"fmt"
	"io"
	"time"

	"rosemarywind.example/rosemarywind/internal/call"
)

// The kinds of calls on the wire.
const (
	callSubmit          = "submit"
	callRead            = "read"
	callCancel          = "cancel"
	callDeclare         = "declare"
	callReadDeclaration = "read-declaration"
	callStartWave       = "start-wave"
	callReadWave        = "read-wave"
	callEvacuate        = "evacuate"
	callReopen          = "reopen"
	callPing            = "ping"
)

type callForm struct {
	Kind     string    `cbor:"1,keyasint"`
	Host     string    `cbor:"2,keyasint,omitempty"`
	Path     string    `cbor:"3,keyasint,omitempty"`
	Key      string    `cbor:"4,keyasint,omitempty"`
	Document []byte    `cbor:"5,keyasint,omitempty"`
	Wave     *waveForm `cbor:"6,keyasint,omitempty"`
	Zone     string    `cbor:"7,keyasint,omitempty"`
	Reason   string    `cbor:"8,keyasint,omitempty"`
}

func targetForm(kind string, t call.Target, document []byte) callForm {
	return callForm{Kind: kind, Host: t.Host(), Path: t.Path(), Key: t.Key(), Document: document}
}

// WriteCall writes the opening of a stream, with the sender's trace context, and a call.
func WriteCall(w io.Writer, trace string, c call.Call) error {
	var f callForm
	switch c := c.(type) {
	case call.Submit:
		f = targetForm(callSubmit, c.Target(), c.Document())
	case call.Read:
		f = targetForm(callRead, c.Target(), nil)
	case call.Cancel:
		f = targetForm(callCancel, c.Target(), nil)
	case call.Declare:
		f = callForm{Kind: callDeclare, Document: c.Document()}
	case call.ReadDeclaration:
		f = callForm{Kind: callReadDeclaration}
	case call.StartWave:
		w := newWaveForm(c.Wave())
		f = callForm{Kind: callStartWave, Wave: &w}
	case call.ReadWave:
		f = callForm{Kind: callReadWave, Wave: &waveForm{Number: c.Number()}}
	case call.Evacuate:
		f = callForm{Kind: callEvacuate, Zone: c.Zone(), Reason: c.Reason()}
	case call.Reopen:
		f = callForm{Kind: callReopen, Zone: c.Zone()}
	case call.Ping:
		f = callForm{Kind: callPing}
	}
	return writeFrames(w, nil, NewOpening(KindCall, trace).form(), f)
}

// maxCallBytes bounds a call, which carries a document of at most 4 MiB.
const maxCallBytes = 4<<20 + 64<<10

// ReadCall reads the call that follows the opening of a stream.
func ReadCall(r io.Reader) (c call.Call, err error) {
	defer annotate("read call", &err)
	var f callForm
	if err = readFrame(r, &f, maxCallBytes); err != nil {
		return nil, err
	}
	target := call.NewTarget(f.Host, f.Path, f.Key)
	switch {
	case f.Kind == callStartWave && f.Wave != nil:
		return call.NewStartWave(f.Wave.wave()), nil
	case f.Kind == callReadWave && f.Wave != nil:
		return call.NewReadWave(f.Wave.Number), nil
	}
	switch f.Kind {
	case callSubmit:
		return call.NewSubmit(target, f.Document), nil
	case callRead:
		return call.NewRead(target), nil
	case callCancel:
		return call.NewCancel(target), nil
	case callDeclare:
		return call.NewDeclare(f.Document), nil
	case callReadDeclaration:
		return call.ReadDeclaration{}, nil
	case callEvacuate:
		return call.NewEvacuate(f.Zone, f.Reason), nil
	case callReopen:
		return call.NewReopen(f.Zone), nil
	case callPing:
		return call.Ping{}, nil
	}
	return nil, fmt.Errorf("unknown kind %q", f.Kind)
}

type callReplyForm struct {
	Outcome    string   `cbor:"1,keyasint"`
	Reason     string   `cbor:"2,keyasint,omitempty"`
	State      string   `cbor:"3,keyasint,omitempty"`
	Pending    int      `cbor:"4,keyasint,omitempty"`
	RetryAfter int64    `cbor:"5,keyasint,omitempty"`
	Document   []byte   `cbor:"6,keyasint,omitempty"`
	Leader     string   `cbor:"7,keyasint,omitempty"`
	Hosts      []string `cbor:"8,keyasint,omitempty"`
}

// WriteReply writes the leader's reply to a call.
func WriteReply(w io.Writer, r call.Reply) error {
	return writeFrame(w, callReplyForm{
		Outcome: string(r.Outcome()), Reason: r.Reason(), State: r.State(), Pending: r.Pending(),
		RetryAfter: int64(r.RetryAfter()), Document: r.Document(), Leader: r.Leader(), Hosts: r.Hosts(),
	})
}

// ReadReply reads the leader's reply to a call; it fails on an outcome that this version does not know.
func ReadReply(r io.Reader) (reply call.Reply, err error) {
	defer annotate("read reply", &err)
	var f callReplyForm
	if err = readFrame(r, &f, MaxFrameBytes); err != nil {
		return reply, err
	}
	if !call.Outcome(f.Outcome).Valid() {
		return reply, fmt.Errorf("unknown outcome %q", f.Outcome)
	}
	return call.NewReply(call.Outcome(f.Outcome), f.Reason).WithState(f.State).WithPending(f.Pending).
		WithRetryAfter(time.Duration(f.RetryAfter)).WithDocument(f.Document).WithHosts(f.Leader, f.Hosts), nil
}
