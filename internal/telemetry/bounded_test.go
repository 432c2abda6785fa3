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

// gate is a writer that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

// Guards against a process that stands still, or grows without bound, because nobody reads its log.
func TestLogNeverBlocks(t *testing.T) {
	const lines = 20_000
	g := &gate{open: make(chan struct{})}
	w := telemetry.NewBoundedWriter(g)
	begun := time.Now()
	for n := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", n)
		assert.NoError(t, err)
	}
	w.Flush()
	assert.Less(t, time.Since(begun), 5*time.Second)
	assert.Greater(t, w.Dropped(), int64(lines/2))
	close(g.open)
	assert.Eventually(t, func() bool { w.Flush(); return strings.Contains(g.String(), "log lines dropped") }, 5*time.Second, time.Millisecond)
	assert.Contains(t, g.String(), "line 0\n")
	assert.Less(t, strings.Count(g.String(), "\n"), lines/2)
}

// Guards against metrics that a reader of plain text does not see.
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
