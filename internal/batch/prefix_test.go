package batch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/batch"
)

// Guards against a request that reaches another queue than the one with the longest prefix of its path, which a search
// through all queues finds.
func TestLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching("/[ab/]{0,4}")
		var queues []batch.Queue
		for n, p := range rapid.SliceOfDistinct(prefix, rapid.ID[string]).Draw(t, "prefixes") {
			queues = append(queues, batch.NewQueue(fmt.Sprint(n), "h", p, "s").WithObjective(1, 0, time.Second))
		}
		d, err := batch.NewDeclaration(1, queues, service(), nil)
		require.NoError(t, err)
		path := rapid.StringMatching("/[ab/]{0,6}").Draw(t, "path")
		want := ""
		for _, q := range queues {
			if strings.HasPrefix(path, q.Prefix()) && len(q.Prefix()) > len(want) {
				want = q.Prefix()
			}
		}
		q, rest, ok := d.QueueAt("h", path)
		assert.Equal(t, want != "", ok)
		assert.Equal(t, want, q.Prefix())
		if ok {
			assert.Equal(t, path, want+rest)
		}
	})
}

// BenchmarkQueueAt measures the search for the queue of a request among thousands on one host.
func BenchmarkQueueAt(b *testing.B) {
	for _, count := range []int{10, 1_000, 20_000} {
		var queues []batch.Queue
		for n := range count {
			queues = append(queues, batch.NewQueue(fmt.Sprint(n), "h", fmt.Sprintf("/queue%d/", n), "s").WithObjective(1, 0, time.Second))
		}
		d, err := batch.NewDeclaration(1, queues, service(), nil)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("%d queues", count), func(b *testing.B) {
			for b.Loop() {
				d.QueueAt("h", "/queue7/0123456789abcdef")
			}
		})
	}
}
