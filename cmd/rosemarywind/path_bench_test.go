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

// halfLoad is half of what two endpoints with 8 slots and 20 ms for each request serve.
const (
	runTime    = "20"
	halfLoad   = 400
	roundTime  = 3 * time.Second
	pathRounds = 3
	pathNumber = 250 // beyond the numbers of the scenarios' addresses
)

// BenchmarkProcesses reports what separate processes of the path add to the latency of a stand-in that is called
// directly, as the medians of rounds that alternate, and what they spend on one request.
func BenchmarkProcesses(b *testing.B) {
	s := newScript(b, b.TempDir(), pathNumber)
	require.NoError(b, s.cluster([]string{"1", "1", "2"}))
	require.NoError(b, s.boot(nil))
	direct := "http://" + s.address(standinPort+1) + "/a?ms=" + runTime
	through := "http://" + s.entry("e1") + "/w/previews/a?ms=" + runTime
	token := load.WithToken(s.tokens["previews"])
	b.Run("GET", func(b *testing.B) { s.rounds(b, direct, through, "", token) })
	b.Run("keyed POST", func(b *testing.B) {
		s.rounds(b, direct, through, "key", token, load.WithRequest(http.MethodPost, "x", "urgent"))
	})
}

// rounds loads the stand-in and the path in turn; with keys, each request has a key of its own.
func (s *script) rounds(b *testing.B, direct, through, keys string, opts ...load.Option) {
	b.Helper()
	var p50, p99 []time.Duration
	var used [2]time.Duration
	right := 0
	for n := range pathRounds {
		if keys != "" {
			opts = append(opts, load.WithKeyPrefix(fmt.Sprintf("%s-%d-", keys, n)))
		}
		alone := s.sent(b, direct, opts...)
		before := s.used(b)
		r := s.sent(b, through, opts...)
		after := s.used(b)
		for i := range used {
			used[i] += after[i] - before[i]
		}
		b.Logf("alone p50 %v p99 %v, path p50 %v p90 %v p99 %v", alone.Percentile(50), alone.Percentile(99), r.Percentile(50), r.Percentile(90), r.Percentile(99))
		p50 = append(p50, r.Percentile(50)-alone.Percentile(50))
		p99 = append(p99, r.Percentile(99)-alone.Percentile(99))
		right += r.Outcomes()[outcome.Ran]
	}
	total := halfLoad * roundTime.Seconds() * pathRounds
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(median(p50), "ms-added-p50")
	b.ReportMetric(median(p99), "ms-added-p99")
	b.ReportMetric(used[0].Seconds()*1000/total, "cpu-ms-entry")
	b.ReportMetric(used[1].Seconds()*1000/total, "cpu-ms-agent")
	b.ReportMetric(float64(right)/total*100, "%-right")
}

func (s *script) sent(b *testing.B, url string, opts ...load.Option) *load.Report {
	b.Helper()
	r, err := load.New(url, time.Now, append(opts, load.WithRate(halfLoad, roundTime))...).Run(b.Context())
	require.NoError(b, err)
	return r
}

// used returns the processor time of the entry and of both agents.
func (s *script) used(b *testing.B) (t [2]time.Duration) {
	b.Helper()
	for name, at := range map[string]int{"e1": 0, "w1": 1, "w2": 1} {
		u, err := capacity.ReadUsage(s.processes[name].cmd.Process.Pid)
		require.NoError(b, err)
		t[at] += u.ProcessorTime()
	}
	return t
}

func median(d []time.Duration) (ms float64) {
	slices.Sort(d)
	return d[len(d)/2].Seconds() * 1000
}
