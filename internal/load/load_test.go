package load_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/load"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Guards against a generator that sends too few requests and a report that misses requests or their outcomes.
func TestRun(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		calls.Add(1)
		assert.Equal(t, "Bearer secret", h.Header.Get("Authorization"))
		assert.True(t, strings.HasPrefix(h.Header.Get("Idempotency-Key"), "run-"))
		w.Header().Set(outcome.Header, string(outcome.Ran))
	}))
	t.Cleanup(server.Close)
	r, err := load.New(server.URL, time.Now, load.WithToken("secret"), load.WithRequest(http.MethodPost, "x", "urgent"),
		load.WithKeyPrefix("run-"), load.WithRate(200, 100*time.Millisecond)).Run(t.Context())
	require.NoError(t, err)
	assert.EqualValues(t, 20, calls.Load())
	assert.Equal(t, 20, r.Outcomes()[outcome.Ran])
	assert.GreaterOrEqual(t, r.Percentile(99), r.Percentile(50))
	var text strings.Builder
	require.NoError(t, r.Write(&text))
	assert.Contains(t, text.String(), "p99 ")
}
