package speed_test

import (
	"fmt"
	"testing"
	"time"

	"rosemarywind.example/rosemarywind/internal/speed"
)

// BenchmarkEstimates measures a fit after one run in ten of 42,000 on 7,200 workers has made progress.
func BenchmarkEstimates(b *testing.B) {
	const workers, jobs, tasks = 7200, 2100, 20
	f := newFleet(1, workers, 0.6, 1, 1.6)
	model := f.model
	observe := func(share int) {
		for j := 0; j < jobs; j += share {
			for n := range tasks {
				f.observe(fmt.Sprintf("j%d", j), n, (j*tasks+n)%workers, 2*time.Second)
			}
		}
		f.live = nil
	}
	observe(1)
	var e speed.Estimates
	for b.Loop() {
		b.StopTimer()
		observe(10)
		f.now = f.now.Add(time.Second)
		b.StartTimer()
		e = model.Estimates(f.now)
	}
	_ = e
}
