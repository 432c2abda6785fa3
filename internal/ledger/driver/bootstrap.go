package driver

import (
	"context"
	"math"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/ledger"
)

// probeInterval is the interval at which a member with an empty disk probes the others.
const probeInterval = 200 * time.Millisecond

// bootstrap returns the recovered state, or decides on the initial state of an empty disk and saves it. It waits until
// a message proves that a member has seen a term, or all other initial members have replied that they have seen none.
func (n *Node[R]) bootstrap(ctx context.Context) (saved ledger.PersistentState, err error) {
	defer annotate(&err, "bootstrap the ledger member")
	o := n.options
	if o.saved.HardState().Identity() != "" {
		return o.saved, nil
	}
	fresh := ledger.FreshID(o.id, o.random.Int64N(math.MaxInt64))
	if saved, ok := ledger.BootstrapWithoutProbe(o.id, fresh, o.initial, o.firstStart); ok {
		snapshot := saved.Snapshot()
		return saved, o.storage.Save([]ledger.Persist{ledger.NewPersist(saved.HardState(), &snapshot, nil)})
	}
	b := ledger.NewBootstrap(o.id, fresh, o.initial)
	if o.delayFounding {
		b.DelayFounding(clock.Now())
	}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	seeds, seedsChanged := o.seeds.Watch()
	b.SetSeeds(seeds)
	n.probeMembers(b)
	for {
		n.publishProbing(b)
		saved, ok := b.Decide(clock.Now())
		if ok {
			snapshot := saved.Snapshot()
			return saved, o.storage.Save([]ledger.Persist{ledger.NewPersist(saved.HardState(), &snapshot, nil)})
		}
		select {
		case <-ctx.Done():
			return saved, ctx.Err()
		case <-ticker.C:
			n.probeMembers(b)
		case <-seedsChanged:
			seeds, seedsChanged = o.seeds.Watch()
			b.SetSeeds(seeds)
			n.probeMembers(b)
		case c := <-n.requests:
			c.fail(&NotLeaderError{})
		case e := <-n.messages:
			n.receiveProbe(b, e)
		}
	}
}

func (n *Node[R]) probeMembers(b *ledger.Bootstrap) {
	for _, p := range b.Probes() {
		n.send(b.FreshID(), p, p.Address())
	}
}

// receiveProbe records the reply to a probe, and replies to the probes of other members with empty disks that this one
// has seen no term. All other messages may prove that the log exists.
func (n *Node[R]) receiveProbe(b *ledger.Bootstrap, e envelope) {
	switch m := e.message.(type) {
	case ledger.Probe:
		n.send(b.FreshID(), ledger.NewSend(e.from, e.address, ledger.NewProbeReply(0, false)), e.address)
	case ledger.ProbeReply:
		if e.to != b.FreshID() {
			b.RecordMessage(m) // the reply to an earlier probe of this host
			return
		}
		b.RecordReply(e.address, m)
	case ledger.PreVote, ledger.PreVoteReply, ledger.RequestVote, ledger.RequestVoteReply, ledger.AppendEntries,
		ledger.AppendEntriesReply, ledger.InstallSnapshot, ledger.TimeoutNow, ledger.Join, ledger.Leave:
		b.RecordMessage(m)
	}
}
