package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/ledger"
	"rosemarywind.example/rosemarywind/internal/ledger/driver"
)

// Guards against an operator who is shown a lost voter as one that counts, or a host without a vote as a voter.
func TestControlBody(t *testing.T) {
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	members := ledger.NewMembership(ledger.NewMember("a", "10.0.0.1:1", true), ledger.NewMember("b", "10.0.0.2:1", true),
		ledger.NewMember("c", "10.0.0.3:1", true), ledger.NewMember("d-00", "10.0.0.4:1", false))
	saved := ledger.NewPersistentState(ledger.NewHardState("a", 2, ""), ledger.NewSnapshot(0, 0, members, nil), nil)
	core := ledger.NewCore(saved, "10.0.0.1:1", ledger.DefaultTiming(), now, random)
	step := func(in ledger.Input) {
		for _, e := range core.Step(now, random, in) {
			if p, ok := e.(ledger.Persist); ok {
				core.Step(now, random, ledger.NewPersisted(p.Sequence()))
			}
		}
	}
	now = core.Wake()
	step(ledger.Tick{})
	step(ledger.NewReceive("b", ledger.NewPreVoteReply(3, 2, true)))
	step(ledger.NewReceive("b", ledger.NewRequestVoteReply(3, true)))
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		step(ledger.NewReceive("b", ledger.NewMatchReply(3, 1, now.Sub(time.Unix(1000, 0)), core.LastIndex())))
	}
	b := controlBodyOf(driver.NewStatus(core, 0))
	require.Equal(t, ledger.Leader, core.Role())
	assert.Equal(t, []int{3, 2, 0}, []int{b.Voters, b.Majority, b.FaultsTolerated})
	assert.Equal(t, "a", b.Leader)
	states := map[string]string{}
	for _, m := range b.Members {
		states[m.ID] = m.State
	}
	assert.Equal(t, map[string]string{"a": "leader", "b": "in-touch", "c": "silent", "d-00": "joining"}, states)
}
