package driver

import (
	"context"
	"math"
	"time"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// askInterval is how often a fresh disk asks the members that have not answered.
const askInterval = 200 * time.Millisecond

// found decides how a fresh disk begins and writes it to the disk. It waits until it
// has heard from another member that has a ledger, or from all that have none.
func (n *Node[R]) found(ctx context.Context) (saved ledger.Saved, err error) {
	defer annotate(&err, "found or join the ledger")
	o := n.options
	if o.saved.Hard().Identity() != "" {
		return o.saved, nil
	}
	fresh := ledger.FreshID(o.id, o.random.Int64N(math.MaxInt64))
	if saved, ok := ledger.FoundAtOnce(o.id, fresh, o.initial, o.founding); ok {
		snapshot := saved.Snapshot()
		return saved, o.storage.Save([]ledger.Persist{ledger.NewPersist(saved.Hard(), &snapshot, nil)})
	}
	f := ledger.NewFounding(o.id, fresh, o.initial)
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	n.askMembers(f)
	for {
		saved, ok := f.Decide()
		if ok {
			snapshot := saved.Snapshot()
			return saved, o.storage.Save([]ledger.Persist{ledger.NewPersist(saved.Hard(), &snapshot, nil)})
		}
		select {
		case <-ctx.Done():
			return saved, ctx.Err()
		case <-ticker.C:
			n.askMembers(f)
		case c := <-n.requests:
			c.fail(&NotLeaderError{})
		case d := <-n.messages:
			n.hearMember(f, d)
		}
	}
}

func (n *Node[R]) askMembers(f *ledger.Founding) {
	for _, q := range f.Ask() {
		n.send(f.Fresh(), q, q.Address())
	}
}

// hearMember takes answers and tells other fresh disks that this one has seen no term.
func (n *Node[R]) hearMember(f *ledger.Founding, d delivery) {
	switch m := d.message.(type) {
	case ledger.Probe:
		n.send(f.Fresh(), ledger.NewSend(d.from, d.address, ledger.NewProbeReply(0)), d.address)
	case ledger.ProbeReply:
		if d.to == f.Fresh() {
			f.Answer(d.address, m)
		}
	case ledger.PreVote, ledger.PreVoteReply, ledger.Vote, ledger.VoteReply, ledger.Append,
		ledger.AppendReply, ledger.Install, ledger.TimeoutNow, ledger.Join:
	}
}
