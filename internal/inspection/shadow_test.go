package inspection_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/batch"
	"rosemarywind.example/rosemarywind/internal/fuzzing"
	"rosemarywind.example/rosemarywind/internal/inspection"
)

func TestMain(m *testing.M) { fuzzing.Main(m, fuzzing.NoSteps) }

// TestShadowedQueuesOracle guards against a queue whose jobs reach another one and that is not reported, by asking the
// declaration for the queue of random job ids.
func TestShadowedQueuesOracle(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		prefixes := rapid.SliceOfNDistinct(rapid.StringMatching(`/[5cx/]{0,4}`), 1, 12, rapid.ID).Draw(r, "prefixes")
		p := newParts()
		p.queues = nil
		var queues []batch.Queue
		for i, prefix := range prefixes {
			queues = append(queues, queue(fmt.Sprint("q", i), "h", prefix))
		}
		p.add(queues...)
		d, err := batch.NewDeclaration(1, queues, p.services, nil)
		require.NoError(r, err)
		reported := map[string]bool{}
		for _, f := range check(p) {
			e, ok := f.Place().(inspection.Entry)
			require.True(r, ok)
			reported[e.Name()] = true
		}
		id := rapid.StringMatching(`[5c]{4}0000`).Draw(r, "id")
		for _, q := range queues {
			if found, _, _ := d.QueueAt("h", q.Prefix()+id); found.Name() != q.Name() {
				assert.True(r, reported[q.Name()], "queue %s at %s", q.Name(), q.Prefix())
			}
		}
	})
}
