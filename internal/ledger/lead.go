package ledger

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
)

// Limits of the messages in flight to one member.
const (
	maxAppendBytes        = 1 << 20
	maxInFlight           = 32
	snapshotRetryInterval = 2 * time.Second
)

// progress is the replication state of another member as the leader tracks it.
type progress struct {
	matchIndex      uint64
	nextIndex       uint64
	probing         bool // one message at a time until a match is found
	heartbeatDue    bool
	inFlight        []uint64      // last index of each unacknowledged message
	ackedSentAt     time.Duration // send time of the latest acknowledged message
	acked           bool
	addedAt         time.Time
	resetRound      uint64 // round at which nextIndex was last moved back
	snapshotRetryAt time.Time
	caughtUpAt      time.Time // latest known time until which all committed entries are synced
	targetIndex     uint64    // commit index at targetAt
	targetAt        time.Time
}

// lead advances the commit index, the membership and a leadership transfer, and sends entries to the other members.
func (c *Core) lead() {
	c.advanceCommit()
	c.promoteCaughtUp()
	c.admit()
	c.finishTransfer()
	if c.role != Leader {
		return
	}
	for _, e := range c.membership.members {
		if p := c.peers[e.id]; p != nil {
			c.replicate(e.id, p)
		}
	}
}

// updatePeers adds and removes progress records so that each other member of the latest membership has one.
func (c *Core) updatePeers() {
	if c.role != Leader {
		return
	}
	for id := range c.peers {
		if _, ok := c.membership.Find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, e := range c.membership.members {
		if e.id != c.self && c.peers[e.id] == nil {
			c.peers[e.id] = &progress{nextIndex: c.log.lastIndex(), probing: true, heartbeatDue: true, addedAt: c.now}
		}
	}
}

func (c *Core) replicate(id MemberID, p *progress) {
	for {
		more := p.nextIndex <= c.log.lastIndex() && !p.probing && len(p.inFlight) < maxInFlight
		if !more && !p.heartbeatDue {
			return
		}
		p.heartbeatDue = false
		previous, ok := c.log.term(p.nextIndex - 1)
		if !ok {
			c.sendSnapshot(id, p)
			return
		}
		m := AppendEntries{
			term: c.term, previousIndex: p.nextIndex - 1, previousTerm: previous,
			commit: c.commitIndex, round: c.nextRound(), sentAt: c.now.Sub(c.epoch),
		}
		if more || p.probing {
			m.entries = limitBytes(c.log.entriesFrom(p.nextIndex))
		}
		if more {
			p.nextIndex += uint64(len(m.entries))
			p.inFlight = append(p.inFlight, p.nextIndex-1)
		}
		c.send(id, m)
	}
}

func (c *Core) nextRound() uint64 {
	c.round++
	return c.round
}

// sendSnapshot sends the snapshot, or a heartbeat until the retry interval of the last snapshot has passed.
func (c *Core) sendSnapshot(id MemberID, p *progress) {
	s := c.log.snapshot
	if c.now.Before(p.snapshotRetryAt) {
		c.send(id, AppendEntries{
			term: c.term, previousIndex: s.index, previousTerm: s.term,
			round: c.nextRound(), sentAt: c.now.Sub(c.epoch),
		})
		return
	}
	p.probing, p.inFlight = true, nil
	p.snapshotRetryAt = c.now.Add(snapshotRetryInterval)
	c.send(id, InstallSnapshot{term: c.term, snapshot: s, round: c.nextRound(), sentAt: c.now.Sub(c.epoch)})
}

// entryOverheadBytes is the size of an encoded entry without its data, rounded up. It also keeps the number of entries
// in a message below the limit of 131,072 array elements of the codec.
const entryOverheadBytes = 32

// limitBytes returns the prefix of entries that fits into maxAppendBytes, and at least one entry.
func limitBytes(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		if size += len(e.data) + entryOverheadBytes; size > maxAppendBytes && i > 0 {
			return slices.Clip(entries[:i])
		}
	}
	return entries
}

func (c *Core) onAppendEntriesReply(from MemberID, m AppendEntriesReply) {
	if m.term > c.term {
		c.follow(m.term, "")
		return
	}
	p := c.peers[from]
	if c.role != Leader || m.term < c.term || p == nil {
		return
	}
	p.ackedSentAt, p.acked = max(p.ackedSentAt, m.sentAt), true
	if !m.matched {
		c.backtrack(p, m)
		return
	}
	p.matchIndex = max(p.matchIndex, m.index)
	c.measureLag(p)
	if m.round > p.resetRound && m.index >= p.nextIndex-1 {
		p.probing, p.snapshotRetryAt = false, time.Time{}
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	p.inFlight = slices.DeleteFunc(p.inFlight, func(last uint64) bool { return last <= p.matchIndex })
}

// measureLag records until when the member has synced all committed entries. Under load the commit index is ahead of the
// match index whenever a reply arrives, so the match index is compared with an earlier commit index.
func (c *Core) measureLag(p *progress) {
	switch {
	case c.commitIndex < c.noOpIndex:
		// Entries that an earlier leader has committed may not be known to be committed yet.
		return
	case p.matchIndex >= c.commitIndex:
		p.caughtUpAt = c.now
	case p.matchIndex < p.targetIndex:
		return
	default:
		p.caughtUpAt = p.targetAt
	}
	p.targetIndex, p.targetAt = c.commitIndex, c.now
}

// caughtUp reports whether the member has synced all entries that were committed one lease before now.
func (c *Core) caughtUp(id MemberID) bool {
	p := c.peers[id]
	return p != nil && !p.caughtUpAt.IsZero() && c.now.Sub(p.caughtUpAt) <= c.timing.lease
}

// backtrack moves nextIndex back to where the logs may match. Replies to messages sent before the last move are stale
// and ignored.
func (c *Core) backtrack(p *progress, m AppendEntriesReply) {
	if m.round <= p.resetRound || m.index <= p.matchIndex || c.now.Before(p.snapshotRetryAt) {
		return
	}
	next := m.conflictIndex
	if m.conflictTerm > 0 {
		if i, t, ok := c.log.lastOfTerm(m.index, m.conflictTerm); ok && t == m.conflictTerm {
			next = i + 1
		}
	}
	p.nextIndex = max(min(next, m.index, c.log.lastIndex()+1), p.matchIndex+1)
	p.probing, p.heartbeatDue, p.inFlight = true, true, nil
	p.resetRound = c.round
}

// advanceCommit commits up to the highest index that a majority has synced, if its entry is of the current term.
func (c *Core) advanceCommit() {
	index := c.majorityMatchIndex()
	if t, ok := c.log.term(index); index <= c.commitIndex || !ok || t != c.term {
		return
	}
	c.commitIndex = index
}

func (c *Core) majorityMatchIndex() uint64 {
	matches := make([]uint64, 0, len(c.membership.members))
	for _, e := range c.membership.members {
		switch {
		case !e.voter:
		case e.id == c.self:
			matches = append(matches, c.writes.durableIndex)
		default:
			matches = append(matches, c.peers[e.id].matchIndex)
		}
	}
	slices.Sort(matches)
	return matches[len(matches)-c.membership.Majority()]
}

// LeaseExpiresAt returns the end of the leader lease, before which no other member can become leader. It is zero if this
// member does not lead or holds no lease.
func (c *Core) LeaseExpiresAt() time.Time {
	if c.role != Leader || c.transfer != nil && c.transfer.sent {
		return time.Time{}
	}
	sentAt := make([]time.Time, 0, len(c.membership.members))
	for _, e := range c.membership.members {
		switch p := c.peers[e.id]; {
		case !e.voter:
		case e.id == c.self:
			sentAt = append(sentAt, c.now)
		case p.acked:
			sentAt = append(sentAt, c.epoch.Add(p.ackedSentAt))
		default:
			sentAt = append(sentAt, time.Time{})
		}
	}
	slices.SortFunc(sentAt, time.Time.Compare)
	leaseStart := sentAt[len(sentAt)-c.membership.Majority()]
	if leaseStart.IsZero() {
		return time.Time{}
	}
	return lease.NewHeld(leaseStart, c.timing.lease).ExpiresAt()
}

// quorumDeadline returns the time at which the leader steps down unless a majority extends its lease. A new leader
// has the length of one lease to reach a majority.
func (c *Core) quorumDeadline() time.Time {
	initial := lease.NewHeld(c.leaderSince, c.timing.lease).ExpiresAt()
	if ends := c.LeaseExpiresAt(); ends.After(initial) {
		return ends
	}
	return initial
}

// expiredLease returns a lease that ends at once. On a former leader it replaces the lease that the member granted
// before it led. It is meant to keep the former leader from voting against a successor that it does not know yet, but
// with a length of 0 it blocks no vote.
func (c *Core) expiredLease() lease.Granted { return lease.NewGranted(c.now, 0) }
