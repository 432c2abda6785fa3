package driver

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/ledger"
)

// maxGroup bounds how many requests one step of the core takes.
const maxGroup = 512

// trailingEntries is how many entries before a snapshot stay in memory; at 300 B
// each they cost 0.6 MB and spare a member that restarts the whole snapshot.
const trailingEntries = 2048

// loop owns the core; only the goroutine of run touches its fields, but for the channels.
type loop[R any] struct {
	node    *Node[R]
	core    *ledger.Core
	applied uint64
	token   uint64
	begun   map[uint64]call[R] // by token, until accepted or refused
	waiting map[uint64]call[R] // by index, until committed

	// senders holds the addresses that other members wrote from.
	senders map[ledger.MemberID]string

	writes []ledger.Persist
	tasks  []task

	toStorage chan []ledger.Persist
	persisted chan uint64
	toApplier chan []task
	progress  chan progress
}

func newLoop[R any](n *Node[R], saved ledger.Saved) *loop[R] {
	return &loop[R]{
		node:      n,
		core:      ledger.NewCore(saved, n.options.address, n.options.timing, clock.Now(), n.options.random),
		applied:   saved.Snapshot().Index(),
		begun:     map[uint64]call[R]{},
		waiting:   map[uint64]call[R]{},
		senders:   map[ledger.MemberID]string{},
		toStorage: make(chan []ledger.Persist),
		persisted: make(chan uint64),
		toApplier: make(chan []task),
		progress:  make(chan progress),
	}
}

// run feeds the core until the context ends.
func (l *loop[R]) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.publish()
		now := clock.Now()
		timer.Reset(l.core.Wake().Sub(now))
		// A send to a nil channel never proceeds, so that a case without work stays out of the select.
		var toStorage chan []ledger.Persist
		if len(l.writes) > 0 {
			toStorage = l.toStorage
		}
		var toApplier chan []task
		if len(l.tasks) > 0 {
			toApplier = l.toApplier
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			l.step(ledger.Tick{})
		case c := <-l.node.requests:
			l.begin(c)
		case d := <-l.node.messages:
			l.receive(d)
		case s := <-l.persisted:
			l.step(ledger.NewPersisted(s))
		case p := <-l.progress:
			l.advance(p)
		case toStorage <- l.writes:
			l.writes = nil
		case toApplier <- l.tasks:
			l.tasks = nil
		}
	}
}

// begin passes a request and those behind it to the core; proposals go as one group.
func (l *loop[R]) begin(c call[R]) {
	var group []ledger.Proposal
	for range maxGroup {
		l.token++
		l.begun[l.token] = c
		switch r := c.request.(type) {
		case proposal:
			group = append(group, ledger.NewProposal(l.token, r.data))
		case change:
			l.step(ledger.NewChange(l.token, r.kind, r.id, r.address))
		case transfer:
			l.step(ledger.NewTransfer(l.token))
		}
		select {
		case c = <-l.node.requests:
			continue
		default:
		}
		break
	}
	if len(group) > 0 {
		l.step(ledger.NewPropose(group...))
	}
}

func (l *loop[R]) step(in ledger.Input) {
	for _, e := range l.core.Step(clock.Now(), l.node.options.random, in) {
		l.carryOut(e)
	}
}

func (l *loop[R]) carryOut(e ledger.Effect) {
	switch e := e.(type) {
	case ledger.Send:
		l.send(e)
	case ledger.Persist:
		l.writes = append(l.writes, e)
	case ledger.Apply:
		l.hand(e.Entries())
	case ledger.Restore:
		l.tasks = append(l.tasks, restoreTask{snapshot: e.Snapshot()})
		l.failWaiting(errReplaced)
	case ledger.BecomeLeader:
	case ledger.StepDown:
		l.failWaiting(errLeadershipLost)
	case ledger.Accepted:
		l.accept(e.Token(), e.Index())
	case ledger.Refused:
		c := l.begun[e.Token()]
		delete(l.begun, e.Token())
		c.fail(l.refusal(e.Reason()))
	}
}

func (l *loop[R]) accept(token, index uint64) {
	c := l.begun[token]
	delete(l.begun, token)
	if index <= l.core.Commit() {
		c.done <- answer[R]{}
		return
	}
	l.waiting[index] = c
}

func (l *loop[R]) refusal(reason ledger.Refusal) error {
	if reason == ledger.NotLeader || reason == ledger.Transferring {
		id, address := l.core.Leader()
		if id == l.core.Self() {
			id, address = "", ""
		}
		return &NotLeaderError{leader: id, address: address}
	}
	return &RefusedError{reason: reason}
}

// failWaiting answers the calls whose entries were not committed while this member led.
func (l *loop[R]) failWaiting(cause error) {
	for _, c := range l.waiting {
		c.fail(&UnknownOutcomeError{cause: cause})
	}
	clear(l.waiting)
}

// hand queues committed entries with the calls that wait for them.
func (l *loop[R]) hand(entries []ledger.Entry) {
	t := applyTask[R]{entries: entries}
	if len(l.waiting) > 0 {
		t.calls = make([]call[R], len(entries))
		for i, e := range entries {
			t.calls[i] = l.waiting[e.Index()]
			delete(l.waiting, e.Index())
		}
	}
	l.tasks = append(l.tasks, t)
}

func (l *loop[R]) advance(p progress) {
	l.applied = p.applied
	if p.snapshot != nil {
		l.step(ledger.NewCompact(p.applied, p.snapshot, trailingEntries))
	}
}

func (l *loop[R]) publish() {
	c := l.core
	leader, address := c.Leader()
	next := Status{
		self: c.Self(), role: c.Role(), term: c.Term(), leader: leader, address: address,
		commit: c.Commit(), applied: l.applied,
		leading:   c.Role() == ledger.Leader && l.applied >= c.NoOp(),
		leaseEnds: c.LeaseEnds(), membership: c.Membership(),
	}
	if l.node.status.Load().publishes(next, l.node.options.timing.Heartbeat()) {
		l.node.status.Publish(next)
	}
}

// save syncs what the core asks to persist; all that is queued meanwhile goes with the next sync.
func (l *loop[R]) save(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w := <-l.toStorage:
			if err := l.node.options.storage.Save(w); err != nil {
				return err
			}
			select {
			case l.persisted <- w[len(w)-1].Sequence():
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}
