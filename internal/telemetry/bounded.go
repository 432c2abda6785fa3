package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logBuffer is how many lines may wait for a slow reader of the log; 4096 lines of 400 B are 1.6 MB.
const logBuffer = 4096

// flushTimeout bounds how long Flush waits for a reader that takes no lines.
const flushTimeout = 200 * time.Millisecond

// BoundedWriter passes lines on in the background and never blocks: lines that find the buffer full are dropped, and a
// line tells how many once there is room again.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	flush   chan chan struct{}
}

// NewBoundedWriter returns a writer that passes lines on to w for as long as the process lives.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, logBuffer), flush: make(chan chan struct{})}
	go b.pass(w)
	return b
}

// Write queues a line or drops it; it never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not yet reported.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Flush waits until the lines that were queued before have been passed on, or for a short while.
func (b *BoundedWriter) Flush() {
	done := make(chan struct{})
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case b.flush <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

func (b *BoundedWriter) pass(w io.Writer) {
	for {
		select {
		case line := <-b.lines:
			b.write(w, line)
		case done := <-b.flush:
			for len(b.lines) > 0 {
				b.write(w, <-b.lines)
			}
			close(done)
		}
	}
}

// write passes a line on; there is nobody to tell that the log cannot be written.
func (b *BoundedWriter) write(w io.Writer, line []byte) {
	if n := b.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
	}
	_, _ = w.Write(line)
}
