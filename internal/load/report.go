package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// failed stands for requests whose connection failed.
const failed outcome.Outcome = "failed"

// Report is what became of the requests; every latency is kept, so percentiles are exact.
type Report struct {
	mutex     sync.Mutex
	latencies []time.Duration
	outcomes  map[outcome.Outcome]int
}

func newReport() *Report { return &Report{outcomes: map[outcome.Outcome]int{}} }

func (r *Report) add(d time.Duration, o outcome.Outcome, err error) {
	if err != nil {
		o = failed
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.latencies = append(r.latencies, d)
	r.outcomes[o]++
}

// Percentile returns the latency that p percent of the requests did not exceed, 0 without any.
func (r *Report) Percentile(p float64) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	i := int(float64(len(r.latencies)) * p / 100)
	return r.latencies[min(i, len(r.latencies)-1)]
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
