package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// failed is the outcome of requests that got no complete response.
const failed outcome.Outcome = "failed"

// Bounds of the latency histogram in microseconds, and its precision; three digits keep the error below 0.1%.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Report holds the latencies and outcomes of requests; it is safe for concurrent use.
type Report struct {
	mutex     sync.Mutex
	latencies *hdrhistogram.Histogram
	outcomes  map[outcome.Outcome]int
}

func newReport() *Report {
	return &Report{
		latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits), outcomes: map[outcome.Outcome]int{},
	}
}

func (r *Report) add(d time.Duration, o outcome.Outcome, err error) {
	if err != nil {
		o = failed
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.latencies.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
	r.outcomes[o]++
}

// Percentile returns the latency that p percent of the requests did not exceed, 0 if none was sent.
func (r *Report) Percentile(p float64) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(r.latencies.ValueAtPercentile(p)) * time.Microsecond
}

// Outcomes returns the number of requests by outcome; a response without one counts under the empty outcome.
func (r *Report) Outcomes() map[outcome.Outcome]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.outcomes)
}

// Write prints the outcomes and the 50th to 100th percentile, one a line.
func (r *Report) Write(w io.Writer) (err error) {
	outcomes := r.Outcomes()
	for _, o := range slices.Sorted(maps.Keys(outcomes)) {
		if _, err = fmt.Fprintf(w, "%-14s %d\n", o, outcomes[o]); err != nil {
			return err
		}
	}
	for _, p := range []float64{50, 90, 99, 99.9, 100} {
		if _, err = fmt.Fprintf(w, "p%-13v %v\n", p, r.Percentile(p)); err != nil {
			return err
		}
	}
	return nil
}
