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

// Guards against a caller that is told the wrong outcome: an acknowledged change is
// applied exactly once, a refused one never, and an unknown one at most once.
func TestOutcomes(t *testing.T) {
	c := startCluster(t, 3, driver.WithSnapshotThreshold(50))
	c.requireLeader(t)
	var report outcomes
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for id, m := range c.members {
		for k := range 4 {
			callers.Go(func() { report.propose(t, m.node, fmt.Sprintf("%s-%d", id, k), stop) })
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 6 {
		away := fmt.Sprintf("c%d", 1+random.IntN(3))
		c.network.isolate(away, true)
		<-time.After(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		c.network.isolate(away, false)
		<-time.After(100 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	requireProposed(t, c.members[c.requireLeader(t)], "end")
	commit := c.members[c.requireLeader(t)].node.Status().Load().Commit()
	for id, m := range c.members {
		requireStatus(t, m, func(s driver.Status) bool { return s.Applied() >= commit })
		report.assert(t, id, m.journal.lines())
	}
}

// outcomes collects what callers were told, by line.
type outcomes struct {
	mutex   sync.Mutex
	ran     []string
	refused []string
	unknown []string
}

func (o *outcomes) propose(t *testing.T, n *driver.Node[int], name string, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		line := fmt.Sprintf("%s-%d", name, i)
		_, err := n.Propose(t.Context(), []byte(line))
		o.note(t, line, err)
	}
}

func (o *outcomes) note(t *testing.T, line string, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var refused *driver.NotLeaderError
	var unknown *driver.UnknownOutcomeError
	switch {
	case err == nil:
		o.ran = append(o.ran, line)
	case errors.As(err, &refused):
		o.refused = append(o.refused, line)
	case errors.As(err, &unknown):
		o.unknown = append(o.unknown, line)
	default:
		assert.NoError(t, err)
	}
}

func (o *outcomes) assert(t *testing.T, id ledger.MemberID, lines []string) {
	t.Helper()
	count := map[string]int{}
	for _, l := range lines {
		count[l]++
	}
	for _, l := range o.ran {
		assert.Equal(t, 1, count[l], "acknowledged %s at %s", l, id)
	}
	for _, l := range o.refused {
		assert.Zero(t, count[l], "refused %s at %s", l, id)
	}
	for _, l := range o.unknown {
		assert.LessOrEqual(t, count[l], 1, "unknown %s at %s", l, id)
	}
	assert.NotEmpty(t, o.ran)
	assert.NotEmpty(t, o.refused)
	t.Logf("%s: %d acknowledged, %d refused, %d unknown", id, len(o.ran), len(o.refused), len(o.unknown))
}
