package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"rosemarywind.example/rosemarywind/internal/telemetry"
)

var origin = telemetry.NewOrigin("agent", "w1", "az1")

// Guards against log lines without their origin or trace ID, and against secrets in log lines.
func TestLogger(t *testing.T) {
	t.Run("origin and trace", func(t *testing.T) {
		var b bytes.Buffer
		l := telemetry.NewLogger(&b, "info", origin)
		telemetry.WithTrace(spanContext(t), l).Info("started", "slots", 8)
		assertLine(t, b.Bytes(), map[string]any{
			"@message": "started", "role": "agent", "instance": "w1", "availability_zone": "az1",
			"slots": 8.0, "trace_id": "0af7651916cd43dd8448eb211c80319c",
		})
	})
	t.Run("level", func(t *testing.T) {
		var b bytes.Buffer
		l := telemetry.NewLogger(&b, "warn", origin)
		l.Info("hidden")
		assert.Empty(t, b.String())
	})
	t.Run("secret", func(t *testing.T) {
		var b bytes.Buffer
		s := telemetry.NewSecret("hunter2")
		l := telemetry.NewLogger(&b, "info", origin)
		l.Info("token read", "token", s, "list", []any{s}, "error", fmt.Errorf("bad %v %q %#v %s %x", s, s, s, s, s))
		assertNoSecret(t, b.String())
		data, err := json.Marshal(map[string]any{"a": s, "b": &s, "c": struct{ S telemetry.Secret }{s}})
		require.NoError(t, err)
		assertNoSecret(t, string(data))
		assertNoSecret(t, fmt.Sprintf("%+v %#v", struct{ s telemetry.Secret }{s}, s))
		assert.Equal(t, "hunter2", s.Reveal())
	})
}

// Guards against an ignored failure that is neither counted nor logged.
func TestReportError(t *testing.T) {
	var b bytes.Buffer
	r := telemetry.NewRegistry()
	report := telemetry.NewErrorReporter(telemetry.NewLogger(&b, "info", origin), r.Counter(telemetry.KeyFailuresMetric), telemetry.KeyFailureMessage)
	report(errors.New("broken"))
	assertLine(t, b.Bytes(), map[string]any{"@level": "warn", "@message": telemetry.KeyFailureMessage, "error": "broken"})
	assert.Equal(t, int64(1), r.Counter(telemetry.KeyFailuresMetric).Count())
}

// Guards against metrics missing from the JSON form, and against a healthy status while a check fails.
func TestHandler(t *testing.T) {
	r, h := telemetry.NewRegistry(), telemetry.NewHealth()
	handler := telemetry.Handler(r, h)
	r.Counter("requests").Inc(3)
	r.Gauge("slots").Update(8)
	r.FloatGauge("fragmentation").Update(0.5)
	r.Histogram("latency_us").Update(100)
	t.Run("metrics", func(t *testing.T) {
		body := get(t, handler, "/metrics", http.StatusOK)
		assert.InDelta(t, 3, metricValue(t, body, "requests", "count"), 0)
		assert.InDelta(t, 8, metricValue(t, body, "slots", "value"), 0)
		assert.InDelta(t, 0.5, metricValue(t, body, "fragmentation", "value"), 0)
		assert.InDelta(t, 100, metricValue(t, body, "latency_us", "max"), 0)
		assert.Positive(t, metricValue(t, body, telemetry.GoroutinesMetric, "value"))
		assert.Positive(t, metricValue(t, body, telemetry.HeapBytesMetric, "value"))
	})
	t.Run("health", func(t *testing.T) {
		assert.Equal(t, "ok", get(t, handler, "/health", http.StatusOK)["status"])
		h.Register("ledger", func() error { return errors.New("no quorum") })
		body := get(t, handler, "/health", http.StatusServiceUnavailable)
		assert.Equal(t, map[string]any{"ledger": "no quorum"}, body["checks"])
		h.Register("ledger", func() error { return nil })
		get(t, handler, "/health", http.StatusOK)
	})
	t.Run("one name with two types", func(t *testing.T) {
		assert.Panics(t, func() { r.Gauge("requests") })
	})
}

// Guards against percentiles outside the stated error, and against losing concurrent updates.
func TestHistogram(t *testing.T) {
	t.Run("percentiles", func(t *testing.T) {
		h := telemetry.NewHistogram()
		for i := range int64(100000) {
			h.Update(i)
		}
		for _, p := range []float64{0.5, 0.95, 0.99} {
			assert.InEpsilon(t, p*100000, h.Percentile(p), 0.0625)
		}
		assert.Equal(t, int64(99999), h.Max())
		assert.InDelta(t, 28867, h.StdDev(), 1)
	})
	t.Run("empty and extreme", func(t *testing.T) {
		h := telemetry.NewHistogram()
		assert.Zero(t, h.Min())
		assert.Zero(t, h.Percentile(0.5))
		h.Update(-1)
		h.Update(1<<63 - 1)
		assert.Equal(t, int64(0), h.Min())
		assert.Equal(t, int64(1<<63-1), h.Max())
	})
	t.Run("concurrent updates", func(t *testing.T) {
		h := telemetry.NewHistogram()
		var g sync.WaitGroup
		for range 8 {
			g.Go(func() {
				for i := range int64(1000) {
					h.Update(i)
				}
			})
		}
		g.Wait()
		s := h.Snapshot()
		assert.Equal(t, int64(8000), s.Count())
		assert.Equal(t, int64(8*999*500), s.Sum())
	})
}

// Guards against losing spans at shutdown, and against losing the span context between processes.
func TestTracing(t *testing.T) {
	t.Run("file", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "spans")
		tracing, err := telemetry.NewTracing(t.Context(), origin, telemetry.WithFile(file))
		require.NoError(t, err)
		ctx, parent := tracing.Tracer().Start(t.Context(), "forward")
		sent := telemetry.Inject(ctx)
		_, child := tracing.Tracer().Start(telemetry.Extract(context.Background(), sent), "run")
		child.End()
		parent.End()
		assert.Equal(t, parent.SpanContext().TraceID(), child.SpanContext().TraceID())
		require.NoError(t, tracing.Shutdown(t.Context()))
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		require.Len(t, lines, 2)
		for _, l := range lines {
			assert.True(t, json.Valid([]byte(l)))
			assert.Contains(t, l, "rosemarywind-agent")
		}
	})
	t.Run("collector", func(t *testing.T) {
		received := make(chan string, 1)
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			received <- r.URL.Path
		}))
		defer s.Close()
		tracing, err := telemetry.NewTracing(t.Context(), origin, telemetry.WithOTLP(s.URL))
		require.NoError(t, err)
		_, span := tracing.Tracer().Start(t.Context(), "forward")
		span.End()
		require.NoError(t, tracing.Shutdown(t.Context()))
		assert.Equal(t, "/v1/traces", <-received)
	})
	t.Run("no exporter", func(t *testing.T) {
		tracing, err := telemetry.NewTracing(t.Context(), origin)
		require.NoError(t, err)
		_, span := tracing.Tracer().Start(t.Context(), "forward")
		assert.False(t, span.IsRecording())
		require.NoError(t, tracing.Shutdown(t.Context()))
	})
	t.Run("file that cannot be opened", func(t *testing.T) {
		_, err := telemetry.NewTracing(t.Context(), origin, telemetry.WithFile(t.TempDir()))
		assert.ErrorContains(t, err, "set up tracing")
	})
	t.Run("headers", func(t *testing.T) {
		h := http.Header{}
		telemetry.InjectHeader(spanContext(t), h)
		got := trace.SpanContextFromContext(telemetry.ExtractHeader(t.Context(), h))
		assert.Equal(t, "0af7651916cd43dd8448eb211c80319c", got.TraceID().String())
	})
	t.Run("malformed parent", func(t *testing.T) {
		for _, bad := range []string{"", "00", strings.Repeat("x", 10000)} {
			assert.False(t, trace.SpanContextFromContext(telemetry.Extract(t.Context(), bad)).IsValid())
		}
		assert.Empty(t, telemetry.Inject(t.Context()))
	})
}

func BenchmarkHistogram(b *testing.B) {
	h := telemetry.NewHistogram()
	b.RunParallel(func(p *testing.PB) {
		for i := int64(0); p.Next(); i++ {
			h.Update(i)
		}
	})
}

func spanContext(t *testing.T) context.Context {
	t.Helper()
	ctx := telemetry.Extract(t.Context(), "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	require.True(t, trace.SpanContextFromContext(ctx).IsValid())
	return ctx
}

func assertLine(t *testing.T, line []byte, want map[string]any) {
	t.Helper()
	got := map[string]any{}
	require.NoError(t, json.Unmarshal(line, &got))
	for k, v := range want {
		assert.Equal(t, v, got[k], k)
	}
}

func assertNoSecret(t *testing.T, text string) {
	t.Helper()
	assert.NotContains(t, text, "hunter2")
	assert.NotContains(t, text, "68756e74657232")
	assert.Contains(t, text, "redacted")
}

func get(t *testing.T, h http.Handler, path string, status int) (body map[string]any) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	assert.Equal(t, status, w.Code)
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	return body
}

func metricValue(t *testing.T, body map[string]any, name, part string) any {
	t.Helper()
	m, ok := body[name].(map[string]any)
	require.True(t, ok, name)
	return m[part]
}
