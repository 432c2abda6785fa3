package driver

import (
	"context"
	"time"

	"rosemarywind.example/rosemarywind/internal/clock"
	"rosemarywind.example/rosemarywind/internal/ledger"
)

// maxBatch is the maximum number of requests that are taken from the queue at once.
const maxBatch = 512

// trailingEntries is the number of entries covered by a snapshot that stay in memory. At 300 B each they take 0.6 MB,
// and a member that restarts and lacks no more than these needs no snapshot.
const trailingEntries = 2048

// trailingBytes bounds the data of these entries, since one entry may hold a configuration of several 100 kB.
const trailingBytes = 4 << 20

// loop owns the core. Only the goroutine of run uses its fields, except for the channels.
type loop[R any] struct {
	node           *Node[R]
	core           *ledger.Core
	applied        uint64
	lastToken      uint64
	pendingByToken map[uint64]call[R] // requests by token until they are accepted or refused
	pendingByIndex map[uint64]call[R] // requests by log index until the entry is committed

	// peerAddresses holds the addresses from which other members last sent a message.
	peerAddresses map[ledger.MemberID]string

	writes []ledger.Persist
	tasks  []task

	toStorage chan []ledger.Persist
	persisted chan uint64
	toApplier chan []task
	progress  chan progress
}

func newLoop[R any](n *Node[R], saved ledger.PersistentState) *loop[R] {
	o := n.options
	return &loop[R]{
		node:           n,
		core:           ledger.NewCore(saved, o.address, o.timing, clock.Now(), o.random).WithFaults(o.faults),
		applied:        saved.Snapshot().Index(),
		pendingByToken: map[uint64]call[R]{},
		pendingByIndex: map[uint64]call[R]{},
		peerAddresses:  map[ledger.MemberID]string{},
		toStorage:      make(chan []ledger.Persist),
		persisted:      make(chan uint64),
		toApplier:      make(chan []task),
		progress:       make(chan progress),
	}
}

// run passes inputs to the core until ctx is done.
func (l *loop[R]) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	seeds, seedsChanged := l.node.options.seeds.Watch()
	l.step(ledger.NewSeeds(seeds))
	for {
		l.publish()
		now := clock.Now()
		timer.Reset(l.core.Wake().Sub(now))
		// A send on a nil channel blocks forever, which disables the case while there is nothing to send.
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
		case <-seedsChanged:
			seeds, seedsChanged = l.node.options.seeds.Watch()
			l.step(ledger.NewSeeds(seeds))
		case c := <-l.node.requests:
			l.submitBatch(c)
		case e := <-l.node.messages:
			l.receive(e)
		case s := <-l.persisted:
			l.step(ledger.NewPersisted(s))
		case p := <-l.progress:
			l.onProgress(p)
		case toStorage <- l.writes:
			l.writes = nil
		case toApplier <- l.tasks:
			l.tasks = nil
		}
	}
}

// submitBatch passes a request and those queued behind it to the core. The proposals among them form one input.
func (l *loop[R]) submitBatch(c call[R]) {
	var batch []ledger.Proposal
	for range maxBatch {
		l.lastToken++
		l.pendingByToken[l.lastToken] = c
		switch r := c.request.(type) {
		case proposal:
			batch = append(batch, ledger.NewProposal(l.lastToken, r.data))
		case change:
			l.step(ledger.NewMembershipChange(l.lastToken, r.kind, r.id, r.address))
		case transfer:
			l.step(ledger.NewTransfer(l.lastToken))
		case stop:
			delete(l.pendingByToken, l.lastToken)
			l.step(ledger.Stop{})
			c.done <- response[R]{}
		}
		select {
		case c = <-l.node.requests:
			continue
		default:
		}
		break
	}
	if len(batch) > 0 {
		l.step(ledger.NewPropose(batch...))
	}
}

func (l *loop[R]) step(in ledger.Input) {
	for _, e := range l.core.Step(clock.Now(), l.node.options.random, in) {
		l.execute(e)
	}
}

func (l *loop[R]) execute(e ledger.Effect) {
	switch e := e.(type) {
	case ledger.Send:
		l.send(e)
	case ledger.Persist:
		l.writes = append(l.writes, e)
	case ledger.Apply:
		l.queueApply(e.Entries())
	case ledger.Restore:
		l.tasks = append(l.tasks, restoreTask{snapshot: e.Snapshot()})
		l.failPending(errCoveredBySnapshot)
	case ledger.BecomeLeader:
	case ledger.StepDown:
		l.failPending(errLeadershipLost)
	case ledger.Accepted:
		l.onAccepted(e.Token(), e.Index())
	case ledger.Refused:
		c := l.pendingByToken[e.Token()]
		delete(l.pendingByToken, e.Token())
		c.fail(l.refusalError(e.Reason()))
	}
}

func (l *loop[R]) onAccepted(token, index uint64) {
	c := l.pendingByToken[token]
	delete(l.pendingByToken, token)
	if index <= l.core.Commit() {
		c.done <- response[R]{}
		return
	}
	l.pendingByIndex[index] = c
}

func (l *loop[R]) refusalError(reason ledger.Refusal) error {
	if reason == ledger.NotLeader || reason == ledger.Transferring {
		id, address := l.core.Leader()
		if id == l.core.Self() {
			id, address = "", ""
		}
		return &NotLeaderError{leader: id, address: address}
	}
	return &RefusedError{reason: reason}
}

// failPending completes, with an unknown outcome, the calls whose entries are not known to be committed.
func (l *loop[R]) failPending(cause error) {
	for _, c := range l.pendingByIndex {
		c.fail(&UnknownOutcomeError{cause: cause})
	}
	clear(l.pendingByIndex)
}

// queueApply queues committed entries for the application, together with the calls that proposed them.
func (l *loop[R]) queueApply(entries []ledger.Entry) {
	t := applyTask[R]{entries: entries}
	if len(l.pendingByIndex) > 0 {
		t.calls = make([]call[R], len(entries))
		for i, e := range entries {
			t.calls[i] = l.pendingByIndex[e.Index()]
			delete(l.pendingByIndex, e.Index())
		}
	}
	l.tasks = append(l.tasks, t)
}

func (l *loop[R]) onProgress(p progress) {
	l.applied = p.applied
	if p.snapshot != nil {
		l.step(ledger.NewCompact(p.applied, p.snapshot, ledger.NewTrailing(trailingEntries, trailingBytes)))
	}
}

func (l *loop[R]) publish() {
	next := NewStatus(l.core, l.applied)
	if l.node.status.Load().needsPublish(next, l.node.options.timing.Heartbeat()) {
		l.node.status.Publish(next)
	}
}

// save makes queued writes durable until ctx is done. Writes that are queued during a sync share the next one.
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
