package wire

import (
	"io"

	"rosemarywind.example/rosemarywind/internal/task"
)

type pingForm struct {
	Report  reportForm `cbor:"1,keyasint"`
	Members int        `cbor:"2,keyasint"`
}

// WritePing writes the state of a member for the agent that is the hub of its gang.
func WritePing(w io.Writer, p task.Ping) error {
	return writeFrame(w, pingForm{Report: fromReport(p.Report()), Members: p.Members()})
}

// ReadPing reads the state of a member of a gang. The error is io.EOF if the stream ends before a ping.
func ReadPing(r io.Reader) (p task.Ping, err error) {
	defer annotate("read ping", &err)
	var f pingForm
	if err = readFrame(r, &f, maxPingBytes); err != nil {
		return task.Ping{}, err
	}
	return task.NewPing(f.Report.report(), f.Members), nil
}

// WriteVerdict writes the hub's reply to a ping.
func WriteVerdict(w io.Writer, v task.Verdict) error { return writeFrame(w, v) }

// ReadVerdict reads the hub's reply to a ping. A stream that ends before the reply is an error, io.ErrUnexpectedEOF.
func ReadVerdict(r io.Reader) (v task.Verdict, err error) {
	defer annotate("read verdict", &err)
	if err = readFrame(r, &v, maxPingBytes); err != nil {
		return "", unexpectedEOF(err)
	}
	return v, nil
}

// maxPingBytes bounds the frame of a ping and that of a verdict.
const maxPingBytes = 4 << 10
