package wire_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/registry"
	"rosemarywind.example/rosemarywind/internal/wire"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// BenchmarkRecovery compares two ways in which a replica catches up on missed configuration changes: it applies each of
// them from the log, or restores a snapshot of the state.
func BenchmarkRecovery(b *testing.B) {
	for _, gap := range []int{240, 2400, 24000} {
		start := newState(b, 8100)
		s, commands := applyChanges(b, start, gap)
		bytes := 0
		for _, c := range commands {
			bytes += len(c)
		}
		b.Run(fmt.Sprintf("log/%d", gap), func(b *testing.B) {
			for range b.N {
				at := start
				for _, data := range commands {
					c, err := wire.DecodeCommand(data)
					require.NoError(b, err)
					at, _ = registry.Apply(at, c)
				}
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
		snapshot, err := wire.EncodeState(s)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("copy/%d", gap), func(b *testing.B) {
			for range b.N {
				_, err := wire.DecodeState(snapshot)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(snapshot)), "bytes")
		})
	}
}

// applyChanges applies n configuration changes, each to one of 120 workspaces, and returns the resulting state and the
// records of the changes.
func applyChanges(b *testing.B, s registry.State, n int) (after registry.State, records [][]byte) {
	b.Helper()
	shape, err := workspace.NewShape(2, 8, workspace.SameRack)
	require.NoError(b, err)
	list := make([]workspace.Workspace, 120)
	for i := range list {
		list[i] = workspace.New(fmt.Sprintf("team-%03d", i), "mill", shape, workspace.NewLimits(64, 256)).
			WithTokenDigests([]string{keys.Digest(fmt.Sprint(i))})
	}
	for i := range n {
		w := list[i%len(list)]
		list[i%len(list)] = workspace.New(w.Name(), "mill", shape, workspace.NewLimits(64+i, 256)).WithTokenDigests(w.TokenDigests())
		config, err := workspace.NewConfig(list, nil, nil)
		require.NoError(b, err)
		now := time.Unix(1_800_000_000+int64(i), 0)
		c := registry.NewApplyConfig(fmt.Sprintf("change-%d", i), workspace.Diff(s.Config(), config), now)
		data, err := wire.EncodeCommand(c)
		require.NoError(b, err)
		records = append(records, data)
		s, _ = registry.Apply(s, c)
	}
	require.Equal(b, uint64(n)+1, s.Config().Revision())
	return s, records
}
