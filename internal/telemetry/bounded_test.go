package telemetry_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/telemetry"
)

// blockedWriter is a writer that blocks until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	text      bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *blockedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// Guards against a process that blocks, or buffers without bound, because the reader of its log does not read.
func TestLogNeverBlocks(t *testing.T) {
	const lines = 20_000
	blocked := &blockedWriter{unblocked: make(chan struct{})}
	w := telemetry.NewBoundedWriter(blocked)
	start := time.Now()
	for n := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", n)
		assert.NoError(t, err)
	}
	w.Flush()
	assert.Less(t, time.Since(start), 5*time.Second)
	assert.Greater(t, w.Dropped(), int64(lines/2))
	close(blocked.unblocked)
	assert.Eventually(t, func() bool { w.Flush(); return strings.Contains(blocked.String(), "log lines dropped") }, 5*time.Second, time.Millisecond)
	assert.Contains(t, blocked.String(), "line 0\n")
	assert.Less(t, strings.Count(blocked.String(), "\n"), lines/2)
}

// stepWriter is a writer each of whose writes announces itself on begun and then waits for a value in steps.
type stepWriter struct{ begun, steps chan struct{} }

func (w *stepWriter) Write(p []byte) (int, error) {
	w.begun <- struct{}{}
	<-w.steps
	return len(p), nil
}

// Guards against a count of dropped lines that is reset before their warning has been read: the count is what tells
// that a reader of the log is stuck.
func TestDroppedUntilWarningIsWritten(t *testing.T) {
	const dropped = 10
	s := &stepWriter{begun: make(chan struct{}), steps: make(chan struct{})}
	w := telemetry.NewBoundedWriter(s)
	_, _ = w.Write([]byte("first\n"))
	<-s.begun
	for w.Dropped() < dropped {
		_, _ = w.Write([]byte("line\n"))
	}
	s.steps <- struct{}{}
	<-s.begun // of the warning
	assert.EqualValues(t, dropped, w.Dropped())
	s.steps <- struct{}{}
	<-s.begun // of the second line
	assert.Zero(t, w.Dropped())
	s.steps <- struct{}{}
}

// Guards against counters and histograms that are missing in the plain text form of the metrics.
func TestTextMetrics(t *testing.T) {
	r := telemetry.NewRegistry()
	r.Counter("entry.requests").Inc(3)
	for v := range int64(100) {
		r.Histogram("entry.latency").Update(v)
	}
	w := httptest.NewRecorder()
	telemetry.TextHandler(r).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Contains(t, w.Body.String(), "entry_requests 3\n")
	assert.Contains(t, w.Body.String(), "entry_latency_count 100\n")
	assert.Contains(t, w.Body.String(), "entry_latency_p99 ")
}
