package leader

import (
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/call"
)

// Guards against new seeds that are lost because a reply that lists the hosts arrives at the same time; the old seeds may
// name only hosts that are gone.
func TestSeedsBesideReplies(t *testing.T) {
	c := NewClient(nil, []string{"s0"})
	done := make(chan struct{})
	var replies sync.WaitGroup
	replies.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			default:
				c.updateHosts(call.NewReply(call.OK, "").WithHosts("", []string{"h" + strconv.Itoa(i%2)}))
			}
		}
	})
	defer replies.Wait()
	defer close(done)
	for i := range 20_000 {
		seeds := []string{"s" + strconv.Itoa(i)}
		c.SetSeeds(seeds)
		require.Equal(t, seeds, c.known.Load().seeds)
	}
}
