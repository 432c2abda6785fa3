package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the protocol between rosemarywind's processes, which must be equal at both ends of a
// stream.
const Version = 2

const (
	frameHeaderBytes = 4
	// MaxFrameBytes bounds a frame; messages of the ledger have a larger limit, and bodies have limits of their own.
	MaxFrameBytes = 16 << 20
)

// Kind identifies the purpose of a stream.
type Kind string

// The kinds of streams.
const (
	KindForward    Kind = "forward"
	KindAnnounce   Kind = "announce"
	KindWatch      Kind = "watch"
	KindLeadership Kind = "leadership"
	KindPropose    Kind = "propose"
	KindOrders     Kind = "orders"
	KindLedger     Kind = "ledger"
	KindPing       Kind = "ping"
	KindCall       Kind = "call"
	KindRuns       Kind = "runs"
)

type openingForm struct {
	Version int    `cbor:"1,keyasint"`
	Kind    Kind   `cbor:"2,keyasint"`
	Trace   string `cbor:"3,keyasint,omitempty"`
}

// Opening is the first frame of a stream, which states the protocol version and the purpose of the stream.
type Opening struct {
	kind  Kind
	trace string
}

// NewOpening returns the first frame of a stream of the given kind with the sender's trace context.
func NewOpening(kind Kind, trace string) Opening { return Opening{kind: kind, trace: trace} }

// Kind returns the purpose of the stream.
func (o Opening) Kind() Kind { return o.kind }

// Trace returns the sender's W3C trace context, or an empty string.
func (o Opening) Trace() string { return o.trace }

// WriteOpening writes the first frame of a stream.
func WriteOpening(w io.Writer, o Opening) error { return writeFrames(w, nil, o.form()) }

func (o Opening) form() openingForm {
	return openingForm{Version: Version, Kind: o.kind, Trace: o.trace}
}

// ReadOpening reads the first frame of a stream; it fails on another protocol version.
func ReadOpening(r io.Reader) (o Opening, err error) {
	defer annotate("read opening", &err)
	var f openingForm
	if err = readFrame(r, &f, maxOpeningBytes); err != nil {
		return Opening{}, err
	}
	if f.Version != Version {
		return Opening{}, fmt.Errorf("protocol version %d is not supported, want %d", f.Version, Version)
	}
	return Opening{kind: f.Kind, trace: f.Trace}, nil
}

const maxOpeningBytes = 4 << 10

func writeFrame(w io.Writer, v any) (err error) { return writeFrames(w, nil, v) }

// frameBuffers holds buffers in which the frames of a message are joined before they are written.
var frameBuffers = sync.Pool{New: func() any { return &bytes.Buffer{} }}

// maxJoinedBytes bounds the body that is copied into the buffer of its frames; buffers of more than twice that capacity
// are not kept in the pool.
const maxJoinedBytes = 16 << 10

// writeFrames writes frames and a body in a single write, since each write may become a separate packet; a body of more
// than maxJoinedBytes gets a write of its own.
func writeFrames(w io.Writer, body []byte, frames ...any) (err error) {
	defer annotate("write frame", &err)
	b := frameBuffers.Get().(*bytes.Buffer)
	defer func() {
		if b.Cap() <= 2*maxJoinedBytes {
			frameBuffers.Put(b)
		}
	}()
	b.Reset()
	for _, v := range frames {
		if err = appendFrame(b, v); err != nil {
			return err
		}
	}
	joined := len(body) <= maxJoinedBytes
	if joined {
		b.Write(body)
	}
	if _, err = w.Write(b.Bytes()); err != nil || joined {
		return err
	}
	_, err = w.Write(body)
	return err
}

func appendFrame(b *bytes.Buffer, v any) (err error) {
	var header [frameHeaderBytes]byte
	at := b.Len()
	b.Write(header[:])
	if err = cbor.MarshalToBuffer(v, b); err != nil {
		return err
	}
	binary.BigEndian.PutUint32(b.Bytes()[at:], uint32(b.Len()-at-frameHeaderBytes))
	return nil
}

func readFrame(r io.Reader, v any, limit int) (err error) {
	var header [frameHeaderBytes]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > limit {
		return fmt.Errorf("frame of %d bytes exceeds the limit of %d", size, limit)
	}
	data, err := readData(r, size)
	if err != nil {
		return unexpectedEOF(err)
	}
	return cbor.Unmarshal(data, v)
}

// readData reads a frame of size bytes. It allocates a large frame only as its data arrives: the size is a claim of the
// sender, which may open thousands of streams.
func readData(r io.Reader, size int) (data []byte, err error) {
	data = make([]byte, min(size, maxPreallocatedBytes))
	for read := 0; ; {
		n, err := io.ReadFull(r, data[read:])
		if err != nil {
			return nil, err
		}
		if read += n; read == size {
			return data, nil
		}
		grown := make([]byte, min(2*len(data), size))
		copy(grown, data)
		data = grown
	}
}

// maxPreallocatedBytes bounds what a sender can make a receiver allocate by stating a size.
const maxPreallocatedBytes = 4 << 10

// unexpectedEOF replaces io.EOF, which means the end of a stream between messages, by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func annotate(operation string, err *error) {
	if *err != nil && !errors.Is(*err, io.EOF) {
		*err = fmt.Errorf("%s: %w", operation, *err)
	}
}

func toNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
