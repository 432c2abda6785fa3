package main

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/capacity"
	"rosemarywind.example/rosemarywind/internal/load"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// Two endpoints with 8 slots each and requests of 20 ms serve 800 requests a second; requestRate is half of that.
const (
	requestMS         = "20"
	requestRate       = 400
	roundDuration     = 3 * time.Second
	benchRounds       = 3
	benchScriptNumber = 250 // greater than the numbers of the scenarios, so that the addresses differ
)

// BenchmarkProcesses reports the latency that the entry host and the agent, as separate processes, add to a direct
// request to a stand-in, and the processor time that they use for each request. The latencies are medians over rounds
// in which direct and forwarded load alternate.
func BenchmarkProcesses(b *testing.B) {
	s := newScript(b, b.TempDir(), benchScriptNumber)
	require.NoError(b, s.cluster([]string{"1", "1", "2"}))
	require.NoError(b, s.boot(nil))
	direct := "http://" + s.address(standinPort+1) + "/a?ms=" + requestMS
	through := "http://" + s.entry("e1") + "/w/previews/a?ms=" + requestMS
	token := load.WithToken(s.tokens["previews"])
	b.Run("GET", func(b *testing.B) { s.benchmarkRounds(b, direct, through, "", token) })
	b.Run("keyed POST", func(b *testing.B) {
		s.benchmarkRounds(b, direct, through, "key", token, load.WithRequest(http.MethodPost, "x", "urgent"))
	})
}

// benchmarkRounds sends load directly to a stand-in and through the entry host in turn. With keys, a prefix, each
// request has its own idempotency key.
func (s *script) benchmarkRounds(b *testing.B, direct, through, keys string, opts ...load.Option) {
	b.Helper()
	var p50, p99 []time.Duration
	var used [2]time.Duration
	ran := 0
	for n := range benchRounds {
		if keys != "" {
			opts = append(opts, load.WithKeyPrefix(fmt.Sprintf("%s-%d-", keys, n)))
		}
		alone := s.requireReport(b, direct, opts...)
		before := s.requireProcessorTimes(b)
		r := s.requireReport(b, through, opts...)
		after := s.requireProcessorTimes(b)
		for i := range used {
			used[i] += after[i] - before[i]
		}
		b.Logf("alone p50 %v p99 %v, path p50 %v p90 %v p99 %v", alone.Percentile(50), alone.Percentile(99), r.Percentile(50), r.Percentile(90), r.Percentile(99))
		p50 = append(p50, r.Percentile(50)-alone.Percentile(50))
		p99 = append(p99, r.Percentile(99)-alone.Percentile(99))
		ran += r.Outcomes()[outcome.Ran]
	}
	total := requestRate * roundDuration.Seconds() * benchRounds
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(medianMS(p50), "ms-added-p50")
	b.ReportMetric(medianMS(p99), "ms-added-p99")
	b.ReportMetric(used[0].Seconds()*1000/total, "cpu-ms-entry")
	b.ReportMetric(used[1].Seconds()*1000/total, "cpu-ms-agent")
	b.ReportMetric(float64(ran)/total*100, "%-right")
}

// requireReport sends one round of load and returns its report.
func (s *script) requireReport(b *testing.B, url string, opts ...load.Option) *load.Report {
	b.Helper()
	r, err := load.New(url, time.Now, append(opts, load.WithRate(requestRate, roundDuration))...).Run(b.Context())
	require.NoError(b, err)
	return r
}

// requireProcessorTimes returns the processor time used by the entry host, and that used by both agents together.
func (s *script) requireProcessorTimes(b *testing.B) (t [2]time.Duration) {
	b.Helper()
	for name, at := range map[string]int{"e1": 0, "w1": 1, "w2": 1} {
		u, err := capacity.ReadUsage(s.processes[name].cmd.Process.Pid)
		require.NoError(b, err)
		t[at] += u.ProcessorTime()
	}
	return t
}

// medianMS returns the median in milliseconds; it sorts d.
func medianMS(d []time.Duration) (ms float64) {
	slices.Sort(d)
	return d[len(d)/2].Seconds() * 1000
}
