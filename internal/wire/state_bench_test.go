package wire_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/job"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/internal/workspace"
	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// BenchmarkState measures the time, allocations and size of a snapshot of the replicated state.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		s := newState(b, n)
		data, err := wire.EncodeState(s)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("encode/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				_, _ = wire.EncodeState(s)
			}
			b.ReportMetric(float64(len(data))/float64(n), "bytes/record")
		})
		b.Run(fmt.Sprintf("decode/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				_, _ = wire.DecodeState(data)
			}
		})
	}
}

// newState returns a state with n reserved jobs of 5 members each and n settled claims.
func newState(b *testing.B, n int) registry.State {
	b.Helper()
	now := time.Unix(1_800_000_000, 0)
	shape, err := workspace.NewShape(5, 1, workspace.Anywhere)
	require.NoError(b, err)
	config, err := workspace.NewConfig([]workspace.Workspace{
		workspace.New("previews", "mill", shape, workspace.NewLimits(10, 10)),
	}, nil, nil)
	require.NoError(b, err)
	s, _ := registry.Apply(registry.NewState(), registry.NewApplyConfig("a", workspace.Diff(workspace.EmptyConfig(), config), now))
	for i := range n {
		id := fmt.Sprintf("j-%032d", i)
		spec, err := job.NewSpec(id, "previews", shape, now, job.WithPayload("pattern"))
		require.NoError(b, err)
		s, _ = registry.Apply(s, registry.NewSubmitJob(id, spec, now))
		var members []job.Member
		for k := range 5 {
			members = append(members, job.NewMember(k, fmt.Sprintf("w%05d", (i+k)%7200), 1))
		}
		s, _ = registry.Apply(s, registry.NewReserveGang(id, members, time.Minute))
		key := fmt.Sprintf("key-%032d", i)
		s, _ = registry.Apply(s, registry.NewClaimKey("previews", key, "fingerprint", now, now))
		s, _ = registry.Apply(s, registry.NewSettleKey("previews", key, s.Sequence(), registry.NewAttemptResult(outcome.Ran, 200), now))
	}
	return s
}
