package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/entry"
	"rosemarywind.example/rosemarywind/internal/fleet"
	"rosemarywind.example/rosemarywind/internal/load"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

const (
	runTimeMS = "20"
	// halfLoadRate is half of the requests per second that two endpoints with 8 slots serve at 20 ms per request.
	halfLoadRate = 400
	loadDuration = 4 * time.Second
)

// BenchmarkPath reports the latency of requests through entry and agent, and directly to the stand-in endpoint, at half
// load.
func BenchmarkPath(b *testing.B) {
	env := newTestEnv(b)
	a1, a2 := env.startAgent("w1"), env.startAgent("w2")
	te := newEntryWithLeader(b, env, []fleet.Endpoint{a1.endpoint, a2.endpoint},
		entry.WithRetries(10, 3, 25*time.Millisecond))
	through := te.url + "/w/previews/a?ms=" + runTimeMS
	b.Run("direct GET", func(b *testing.B) { reportLoad(b, a1.url+"/a?ms="+runTimeMS, "") })
	b.Run("GET", func(b *testing.B) { reportLoad(b, through, outcome.Ran) })
	b.Run("keyed POST", func(b *testing.B) {
		reportLoad(b, through, outcome.Ran, load.WithRequest(http.MethodPost, "x", "urgent"), load.WithKeyPrefix(b.Name()))
	})
}

// BenchmarkAdded reports the latency that entry and agent add, as the differences of the medians and of the lower
// deciles. It sends requests with a run time of 0 directly to the stand-in endpoint and through the entry alternately,
// one at a time, so that other load on the machine affects both alike.
func BenchmarkAdded(b *testing.B) {
	env := newTestEnv(b)
	a := env.startAgent("w1")
	te := newEntryWithLeader(b, env, []fleet.Endpoint{a.endpoint})
	direct, through := histogram(), histogram()
	b.ReportAllocs()
	for b.Loop() {
		timeRequest(b, direct, a.url+"/a?ms=0")
		timeRequest(b, through, te.url+"/w/previews/a?ms=0")
	}
	for _, p := range []float64{10, 50} {
		added := through.ValueAtPercentile(p) - direct.ValueAtPercentile(p)
		b.ReportMetric(float64(added), fmt.Sprintf("us-added-p%.0f", p))
	}
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, testTimeout.Microseconds(), 3) }

func timeRequest(b *testing.B, into *hdrhistogram.Histogram, url string) {
	b.Helper()
	h, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url, nil)
	require.NoError(b, err)
	h.Header.Set("Authorization", "Bearer "+token)
	start := time.Now()
	answer, err := http.DefaultClient.Do(h)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(b, err)
	require.NoError(b, into.RecordValue(time.Since(start).Microseconds()))
	require.NoError(b, answer.Body.Close())
	require.Equal(b, http.StatusOK, answer.StatusCode)
}

func reportLoad(b *testing.B, url string, want outcome.Outcome, opts ...load.Option) {
	b.Helper()
	opts = append([]load.Option{load.WithToken(token), load.WithRate(halfLoadRate, loadDuration)}, opts...)
	r, err := load.New(url, time.Now, opts...).Run(b.Context())
	require.NoError(b, err)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(r.Percentile(50).Seconds()*1000, "ms-p50")
	b.ReportMetric(r.Percentile(99).Seconds()*1000, "ms-p99")
	b.ReportMetric(float64(r.Outcomes()[want])/(halfLoadRate*loadDuration.Seconds())*100, "%-right")
}
