package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logBufferLines is the number of lines that may wait for a slow reader of the log; 4096 lines of 400 B take 1.6 MB.
const logBufferLines = 4096

// flushTimeout bounds how long Flush waits if the reader of the log blocks.
const flushTimeout = 200 * time.Millisecond

// BoundedWriter writes lines to another writer in the background, so that a caller never blocks. It drops lines while
// its buffer is full, and writes a warning with their number before the next line.
type BoundedWriter struct {
	lines         chan []byte
	dropped       atomic.Int64
	flushRequests chan chan struct{}
}

// NewBoundedWriter returns a writer to w; its goroutine runs until the process exits.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, logBufferLines), flushRequests: make(chan chan struct{})}
	go b.forward(w)
	return b
}

// Write queues a copy of a line, or drops the line if the buffer is full; the error is always nil.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that no warning has reported yet.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Flush waits until the lines queued before the call are written, but not longer than flushTimeout.
func (b *BoundedWriter) Flush() {
	done := make(chan struct{})
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case b.flushRequests <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

func (b *BoundedWriter) forward(w io.Writer) {
	for {
		select {
		case line := <-b.lines:
			b.write(w, line)
		case done := <-b.flushRequests:
			for len(b.lines) > 0 {
				b.write(w, <-b.lines)
			}
			close(done)
		}
	}
}

// write writes a line; it ignores errors, because the log itself is where they would be reported. Dropped lines count
// until their warning is written, since a blocked reader has not seen it.
func (b *BoundedWriter) write(w io.Writer, line []byte) {
	if n := b.dropped.Load(); n > 0 {
		_, _ = fmt.Fprintf(w, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
		b.dropped.Add(-n)
	}
	_, _ = w.Write(line)
}
