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

// halfLoad is half of what two endpoints with 8 slots and 20 ms for each request serve.
const (
	runTime  = "20"
	halfLoad = 400
	loadTime = 4 * time.Second
)

// BenchmarkPath reports the latency of the whole path, and of the stand-in alone, at half load.
func BenchmarkPath(b *testing.B) {
	w := newWorld(b)
	b1, b2 := w.beside("w1"), w.beside("w2")
	s := newSite(b, w, []fleet.Endpoint{b1.endpoint, b2.endpoint}, entry.WithRetries(10, 3, 25*time.Millisecond))
	through := s.url + "/w/previews/a?ms=" + runTime
	b.Run("direct GET", func(b *testing.B) { report(b, b1.url+"/a?ms="+runTime, "") })
	b.Run("GET", func(b *testing.B) { report(b, through, outcome.Ran) })
	b.Run("keyed POST", func(b *testing.B) {
		report(b, through, outcome.Ran, load.WithRequest(http.MethodPost, "x", "urgent"), load.WithKeys(b.Name()))
	})
}

// BenchmarkAdded sends requests without a run time to the stand-in and through the path in turn, one at a time, so that
// other load on the machine meets both alike, and reports the median and the lower decile of what the path adds.
func BenchmarkAdded(b *testing.B) {
	w := newWorld(b)
	beside := w.beside("w1")
	s := newSite(b, w, []fleet.Endpoint{beside.endpoint})
	direct, through := histogram(), histogram()
	b.ReportAllocs()
	for b.Loop() {
		timed(b, direct, beside.url+"/a?ms=0")
		timed(b, through, s.url+"/w/previews/a?ms=0")
	}
	for _, p := range []float64{10, 50} {
		added := through.ValueAtPercentile(p) - direct.ValueAtPercentile(p)
		b.ReportMetric(float64(added), fmt.Sprintf("us-added-p%.0f", p))
	}
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, patience.Microseconds(), 3) }

func timed(b *testing.B, into *hdrhistogram.Histogram, url string) {
	b.Helper()
	h, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url, nil)
	require.NoError(b, err)
	h.Header.Set("Authorization", "Bearer "+token)
	begun := time.Now()
	answer, err := http.DefaultClient.Do(h)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(b, err)
	require.NoError(b, into.RecordValue(time.Since(begun).Microseconds()))
	require.NoError(b, answer.Body.Close())
	require.Equal(b, http.StatusOK, answer.StatusCode)
}

func report(b *testing.B, url string, want outcome.Outcome, opts ...load.Option) {
	b.Helper()
	opts = append([]load.Option{load.WithToken(token), load.WithRate(halfLoad, loadTime)}, opts...)
	r, err := load.New(url, time.Now, opts...).Run(b.Context())
	require.NoError(b, err)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(r.Percentile(50).Seconds()*1000, "ms-p50")
	b.ReportMetric(r.Percentile(99).Seconds()*1000, "ms-p99")
	b.ReportMetric(float64(r.Outcomes()[want])/(halfLoad*loadTime.Seconds())*100, "%-right")
}
