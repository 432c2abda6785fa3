package driver_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
)

// Guards against a wrong outcome reported to a caller: an acknowledged change must be applied exactly once, a refused
// one never, and one with an unknown outcome at most once.
func TestOutcomes(t *testing.T) {
	c := startCluster(t, 3, driver.WithSnapshotThreshold(50))
	c.requireLeader(t)
	outcomes := outcomeCheck{allowed: map[string]countRange{}}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for id, m := range c.members {
		for k := range 4 {
			callers.Go(func() { outcomes.propose(t, m.node, fmt.Sprintf("%s-%d", id, k), stop) })
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 6 {
		isolated := fmt.Sprintf("c%d", 1+random.IntN(3))
		c.network.isolate(isolated, true)
		<-time.After(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		c.network.isolate(isolated, false)
		<-time.After(100 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	requireProposed(t, c.members[c.requireLeader(t)], "end")
	commit := c.members[c.requireLeader(t)].node.Status().Load().Commit()
	for id, m := range c.members {
		requireStatus(t, m, func(s driver.Status) bool { return s.Applied() >= commit })
		outcomes.assert(t, id, m.recorder.lines())
	}
}

// outcomeCheck records how often each line may be applied according to the outcome reported to its caller.
type outcomeCheck struct {
	mutex   sync.Mutex
	allowed map[string]countRange
}

type countRange struct{ least, most int }

// propose proposes new lines until stop is closed.
func (o *outcomeCheck) propose(t *testing.T, n *driver.Node[int], name string, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		line := fmt.Sprintf("%s-%d", name, i)
		_, err := n.Propose(t.Context(), []byte(line))
		o.mutex.Lock()
		o.allowed[line] = allowedCount(t, err)
		o.mutex.Unlock()
	}
}

func allowedCount(t *testing.T, err error) countRange {
	var refused *driver.NotLeaderError
	var unknown *driver.UnknownOutcomeError
	switch {
	case errors.As(err, &refused):
		return countRange{0, 0}
	case errors.As(err, &unknown):
		return countRange{0, 1}
	}
	assert.NoError(t, err)
	return countRange{1, 1}
}

func (o *outcomeCheck) assert(t *testing.T, id ledger.MemberID, lines []string) {
	t.Helper()
	count, outcomes := map[string]int{}, map[countRange]int{}
	for _, l := range lines {
		count[l]++
	}
	for l, b := range o.allowed {
		outcomes[b]++
		if n := count[l]; n < b.least || n > b.most {
			assert.Failf(t, "wrong outcome", "%s is applied %d times at %s, not %d to %d", l, n, id, b.least, b.most)
		}
	}
	assert.Positive(t, outcomes[countRange{1, 1}], "acknowledged")
	assert.Positive(t, outcomes[countRange{0, 0}], "refused")
	t.Logf("%s: acknowledged %d, refused %d, unknown %d", id,
		outcomes[countRange{1, 1}], outcomes[countRange{0, 0}], outcomes[countRange{0, 1}])
}
