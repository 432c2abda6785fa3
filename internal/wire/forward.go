package wire

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

type forwardForm struct {
	ID          string      `cbor:"1,keyasint"`
	Workspace   string      `cbor:"2,keyasint"`
	Method      string      `cbor:"3,keyasint"`
	Target      string      `cbor:"4,keyasint"`
	Headers     []string    `cbor:"5,keyasint,omitempty"`
	Urgency     job.Urgency `cbor:"6,keyasint"`
	Idempotent  bool        `cbor:"7,keyasint,omitempty"`
	Remaining   int64       `cbor:"8,keyasint"`
	Incarnation uint64      `cbor:"9,keyasint"`
	Length      int         `cbor:"10,keyasint"`
	Digest      uint64      `cbor:"11,keyasint"`
}

type answerForm struct {
	Kind       string         `cbor:"1,keyasint"`
	ID         string         `cbor:"2,keyasint"`
	Status     int            `cbor:"3,keyasint,omitempty"`
	Headers    []string       `cbor:"4,keyasint,omitempty"`
	Reason     outcome.Reason `cbor:"5,keyasint,omitempty"`
	Message    string         `cbor:"6,keyasint,omitempty"`
	RetryAfter int64          `cbor:"7,keyasint,omitempty"`
	InFlight   int64          `cbor:"8,keyasint,omitempty"`
	Length     int            `cbor:"9,keyasint,omitempty"`
	Digest     uint64         `cbor:"10,keyasint,omitempty"`
}

// The kinds of answers on the wire.
const (
	answerAnswered = "answered"
	answerRefused  = "refused"
	answerLost     = "lost"
	answerUnkept   = "unkept"
)

const maxHeaderFrameBytes = 256 << 10

// ErrTooLarge is the error for a body that exceeds the reader's limit.
var ErrTooLarge = errors.New("body exceeds the limit")

// Forward is a request for one incarnation of an agent; a receiver reads its body separately with ReadBody.
type Forward struct {
	request     request.Request
	incarnation uint64
	headers     request.Headers
	length      int
	digest      uint64
}

// NewForward returns a request, with its body, for the given incarnation of an agent.
func NewForward(r request.Request, incarnation uint64) Forward {
	return Forward{request: r, incarnation: incarnation}
}

// Request returns the request with its deadline on the reader's clock, without its body if ReadForward returned f.
func (f Forward) Request() request.Request { return f.request }

// Incarnation returns the incarnation of the agent that the sender addresses.
func (f Forward) Incarnation() uint64 { return f.incarnation }

// WriteForward writes the opening of a stream, with the sender's trace context, and a request; the deadline is sent as
// the time that remains, since the clocks of hosts differ.
func WriteForward(w io.Writer, trace string, f Forward, now time.Time) (err error) {
	defer annotate("write request", &err)
	r := f.request
	return writeFrames(w, r.Body(), NewOpening(KindForward, trace).form(), forwardForm{
		ID: r.ID(), Workspace: r.Workspace(), Method: r.Method(), Target: r.Target(), Headers: flattenHeaders(r.Headers()),
		Urgency: r.Urgency(), Idempotent: r.Idempotent(), Remaining: int64(r.Deadline().Sub(now)),
		Incarnation: f.incarnation, Length: len(r.Body()), Digest: xxhash.Sum64(r.Body()),
	})
}

// ReadForward reads the request that follows the opening of a stream, without its body, which the receiver reads only
// if it accepts the request.
func ReadForward(r io.Reader, now time.Time) (f Forward, err error) {
	defer annotate("read request", &err)
	var m forwardForm
	if err = readFrame(r, &m, maxHeaderFrameBytes); err != nil {
		return Forward{}, unexpectedEOF(err)
	}
	headers, err := unflattenHeaders(m.Headers)
	if err != nil {
		return Forward{}, err
	}
	q := request.New(m.ID, m.Workspace, m.Method, m.Target,
		request.WithBody(headers, nil), request.WithUrgency(m.Urgency),
		request.WithIdempotent(m.Idempotent), request.WithDeadline(now.Add(time.Duration(m.Remaining))))
	return Forward{request: q, incarnation: m.Incarnation, headers: headers, length: m.Length, digest: m.Digest}, nil
}

// ReadBody reads the body and returns the request with it; it fails with ErrTooLarge beyond limit bytes.
func (f Forward) ReadBody(r io.Reader, limit int) (q request.Request, err error) {
	defer annotate("read request", &err)
	body, err := readBody(r, f.length, f.digest, limit)
	if err != nil {
		return request.Request{}, err
	}
	q = f.request
	request.WithBody(f.headers, body)(&q)
	return q, nil
}

// WriteAnswer writes the result of the request with the given id, and the endpoint's number of requests in flight.
func WriteAnswer(w io.Writer, id string, result request.Result, inFlight int64) (err error) {
	defer annotate("write answer", &err)
	m := answerForm{ID: id, InFlight: inFlight}
	var body []byte
	switch t := result.(type) {
	case request.Answered:
		body = t.Body()
		m.Kind, m.Status, m.Headers = answerAnswered, t.Status(), flattenHeaders(t.Headers())
		m.Length, m.Digest = len(body), xxhash.Sum64(body)
	case request.Refused:
		m.Kind, m.Reason, m.Message, m.RetryAfter = answerRefused, t.Reason(), t.Message(), int64(t.RetryAfter())
	case request.Lost:
		m.Kind, m.Reason, m.Message = answerLost, t.Reason(), t.Message()
	case request.AnswerExpired:
		m.Kind, m.Status = answerUnkept, t.Status()
	}
	return writeFrames(w, body, m)
}

// ReadAnswer reads the result of the request with the given id, and the endpoint's number of requests in flight.
func ReadAnswer(r io.Reader, id string, bodyLimit int) (result request.Result, inFlight int64, err error) {
	defer annotate("read answer", &err)
	var m answerForm
	if err = readFrame(r, &m, maxHeaderFrameBytes); err != nil {
		return nil, 0, unexpectedEOF(err)
	}
	if m.ID != id {
		return nil, 0, fmt.Errorf("answer is for request %q, want %q", m.ID, id)
	}
	switch m.Kind {
	case answerAnswered:
		body, err := readBody(r, m.Length, m.Digest, bodyLimit)
		if err != nil {
			return nil, 0, err
		}
		headers, err := unflattenHeaders(m.Headers)
		if err != nil {
			return nil, 0, err
		}
		return request.NewAnswered(m.Status, headers, body), m.InFlight, nil
	case answerRefused:
		return request.NewRefused(m.Reason, m.Message, time.Duration(m.RetryAfter)), m.InFlight, nil
	case answerLost:
		return request.NewLost(m.Reason, m.Message), m.InFlight, nil
	case answerUnkept:
		return request.NewAnswerExpired(m.Status), m.InFlight, nil
	default:
		return nil, 0, fmt.Errorf("answer of unknown kind %q", m.Kind)
	}
}

func readBody(r io.Reader, length int, digest uint64, limit int) (body []byte, err error) {
	if length < 0 || length > limit {
		return nil, fmt.Errorf("%w of %d bytes: %d", ErrTooLarge, limit, length)
	}
	body = make([]byte, length)
	if _, err = io.ReadFull(r, body); err != nil {
		return nil, unexpectedEOF(err)
	}
	if got := xxhash.Sum64(body); got != digest {
		return nil, fmt.Errorf("body digest is %x, want %x", got, digest)
	}
	return body, nil
}
