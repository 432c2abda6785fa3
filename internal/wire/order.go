package wire

import (
	"fmt"
	"io"
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
	"rosemarywind.example/rosemarywind/internal/task"
)

type orderForm struct {
	Kind         string `cbor:"1,keyasint"`
	Job          string `cbor:"2,keyasint"`
	Index        int    `cbor:"3,keyasint"`
	FencingToken uint64 `cbor:"4,keyasint"`
	Accelerators int    `cbor:"5,keyasint,omitempty"`
	Length       int64  `cbor:"6,keyasint,omitempty"`
	Payload      string `cbor:"7,keyasint,omitempty"`
	Checkpoint   bool   `cbor:"8,keyasint,omitempty"`
	Percent      int    `cbor:"9,keyasint,omitempty"`
	Mark         uint64 `cbor:"10,keyasint,omitempty"`
	Since        uint64 `cbor:"11,keyasint,omitempty"`
	Hub          string `cbor:"12,keyasint,omitempty"`
	Members      int    `cbor:"13,keyasint,omitempty"`
}

type replyForm struct {
	Answer  task.Answer `cbor:"1,keyasint"`
	Message string      `cbor:"2,keyasint,omitempty"`
}

// The kinds of orders on the wire.
const (
	orderReserve  = "reserve"
	orderStart    = "start"
	orderRenew    = "renew"
	orderStop     = "stop"
	orderThrottle = "throttle"
)

// WriteOrders writes the leader's orders to one agent.
func WriteOrders(w io.Writer, orders []task.Order) error {
	forms := make([]orderForm, len(orders))
	for i, o := range orders {
		forms[i] = fromOrder(o)
	}
	return writeFrame(w, forms)
}

// ReadOrders reads the leader's orders to one agent.
func ReadOrders(r io.Reader) (orders []task.Order, err error) {
	defer annotate("read orders", &err)
	var forms []orderForm
	if err = readFrame(r, &forms, MaxFrameBytes); err != nil {
		return nil, err
	}
	orders = make([]task.Order, len(forms))
	for i, f := range forms {
		if orders[i], err = f.order(); err != nil {
			return nil, err
		}
	}
	return orders, nil
}

// WriteReplies writes an agent's replies in the order of the leader's orders.
func WriteReplies(w io.Writer, replies []task.Reply) error {
	forms := make([]replyForm, len(replies))
	for i, r := range replies {
		forms[i] = replyForm{Answer: r.Answer(), Message: r.Message()}
	}
	return writeFrame(w, forms)
}

// ReadReplies reads an agent's replies to the given number of orders; it fails if their number differs.
func ReadReplies(r io.Reader, orders int) (replies []task.Reply, err error) {
	defer annotate("read replies", &err)
	var forms []replyForm
	if err = readFrame(r, &forms, MaxFrameBytes); err != nil {
		return nil, unexpectedEOF(err)
	}
	if len(forms) != orders {
		return nil, fmt.Errorf("%d replies to %d orders", len(forms), orders)
	}
	replies = make([]task.Reply, len(forms))
	for i, f := range forms {
		replies[i] = task.NewReply(f.Answer, f.Message)
	}
	return replies, nil
}

func fromOrder(o task.Order) orderForm {
	switch t := o.(type) {
	case task.Reserve:
		return orderForm{
			Kind: orderReserve, Job: t.ID().Job(), Index: t.ID().Index(), FencingToken: uint64(t.FencingToken()),
			Accelerators: t.Accelerators(), Length: int64(t.LeaseDuration()), Payload: t.Payload(), Mark: uint64(t.Sequence()),
			Hub: t.Watch().Hub(), Members: t.Watch().Members(),
		}
	case task.Start:
		return orderForm{Kind: orderStart, Job: t.ID().Job(), Index: t.ID().Index(), FencingToken: uint64(t.FencingToken())}
	case task.Renew:
		return orderForm{
			Kind: orderRenew, Job: t.ID().Job(), Index: t.ID().Index(), FencingToken: uint64(t.FencingToken()),
			Length: int64(t.LeaseDuration()), Mark: uint64(t.Sequence()), Since: uint64(t.BaseSequence()),
		}
	case task.Stop:
		return orderForm{
			Kind: orderStop, Job: t.ID().Job(), Index: t.ID().Index(), FencingToken: uint64(t.FencingToken()),
			Checkpoint: t.Checkpoint(),
		}
	case task.Throttle:
		return orderForm{
			Kind: orderThrottle, Job: t.ID().Job(), Index: t.ID().Index(), FencingToken: uint64(t.FencingToken()),
			Percent: t.Percent(), Mark: uint64(t.Sequence()),
		}
	}
	return orderForm{}
}

func (f orderForm) order() (task.Order, error) {
	id, token := task.NewID(f.Job, f.Index), lease.FencingToken(f.FencingToken)
	switch f.Kind {
	case orderReserve:
		return task.NewReserve(id, token, task.Sequence(f.Mark), f.Accelerators, time.Duration(f.Length), f.Payload).
			WithWatch(task.NewGangWatch(f.Hub, f.Members)), nil
	case orderStart:
		return task.NewStart(id, token), nil
	case orderRenew:
		return task.NewRenew(id, token, task.Sequence(f.Mark), task.Sequence(f.Since), time.Duration(f.Length)), nil
	case orderStop:
		return task.NewStop(id, token, f.Checkpoint), nil
	case orderThrottle:
		return task.NewThrottle(id, token, task.Sequence(f.Mark), f.Percent), nil
	default:
		return nil, fmt.Errorf("order of unknown kind %q", f.Kind)
	}
}
