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

// failed stands for requests whose connection failed.
const failed outcome.Outcome = "failed"

// The histogram of latencies, in microseconds; three digits keep the error below 0.1%.
const (
	leastLatency = 1
	mostLatency  = int64(10 * time.Minute / time.Microsecond)
	digits       = 3
)

// Report is what became of the requests.
type Report struct {
	mutex     sync.Mutex
	latencies *hdrhistogram.Histogram
	outcomes  map[outcome.Outcome]int
}

func newReport() *Report {
	return &Report{
		latencies: hdrhistogram.New(leastLatency, mostLatency, digits), outcomes: map[outcome.Outcome]int{},
	}
}

func (r *Report) add(d time.Duration, o outcome.Outcome, err error) {
	if err != nil {
		o = failed
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.latencies.RecordValue(min(max(d.Microseconds(), leastLatency), mostLatency))
	r.outcomes[o]++
}

// Percentile returns the latency that p percent of the requests did not exceed, 0 without any.
func (r *Report) Percentile(p float64) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(r.latencies.ValueAtPercentile(p)) * time.Microsecond
}

// Outcomes returns the numbers of requests by outcome; an answer without one counts under the empty outcome.
func (r *Report) Outcomes() map[outcome.Outcome]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.outcomes)
}

// Write prints the outcomes and the percentiles.
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
