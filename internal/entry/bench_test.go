package entry_test

import (
	"net/http"
	"testing"
	"time"

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
