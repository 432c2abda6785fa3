package ledger

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/lease"
)

// Limits of what is under way to one member.
const (
	maxAppendBytes = 1 << 20
	maxInFlight    = 32
	installRetry   = 2 * time.Second
)

// progress is what the leader knows of another member.
type progress struct {
	match     uint64
	next      uint64
	probing   bool
	due       bool
	inFlight  []uint64
	heardAt   time.Duration
	heardOnce bool
	resetAt   uint64
	installAt time.Time
}

// lead commits what a majority has and sends what members lack.
func (c *Core) lead() {
	c.advance()
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

// updatePeers gives each other member of the latest membership a progress.
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
			c.peers[e.id] = &progress{next: c.log.lastIndex(), probing: true, due: true}
		}
	}
}

func (c *Core) replicate(id MemberID, p *progress) {
	for {
		more := p.next <= c.log.lastIndex() && !p.probing && len(p.inFlight) < maxInFlight
		if !more && !p.due {
			return
		}
		p.due = false
		previous, ok := c.log.term(p.next - 1)
		if !ok {
			c.install(id, p)
			return
		}
		m := Append{
			term: c.term, previousIndex: p.next - 1, previousTerm: previous,
			commit: c.commit, round: c.nextRound(), stamp: c.now.Sub(c.epoch),
		}
		if more || p.probing {
			m.entries = limit(c.log.from(p.next))
		}
		if more {
			p.next += uint64(len(m.entries))
			p.inFlight = append(p.inFlight, p.next-1)
		}
		c.send(id, m)
	}
}

func (c *Core) nextRound() uint64 {
	c.round++
	return c.round
}

// install sends the snapshot, and a heartbeat in its place while the snapshot is under way.
func (c *Core) install(id MemberID, p *progress) {
	s := c.log.snapshot
	if c.now.Before(p.installAt) {
		c.send(id, Append{term: c.term, previousIndex: s.index, previousTerm: s.term, round: c.nextRound(), stamp: c.now.Sub(c.epoch)})
		return
	}
	p.probing, p.inFlight = true, nil
	p.installAt = c.now.Add(installRetry)
	c.send(id, Install{term: c.term, snapshot: s, round: c.nextRound(), stamp: c.now.Sub(c.epoch)})
}

// entryOverhead is what an entry costs in a message besides its data, rounded up; it
// also bounds the number of entries below the codec's limit of 131,072 elements.
const entryOverhead = 32

// limit cuts a list of entries to what one message may carry, but to no less than one entry.
func limit(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		if size += len(e.data) + entryOverhead; size > maxAppendBytes && i > 0 {
			return slices.Clip(entries[:i])
		}
	}
	return entries
}

func (c *Core) onAppendReply(from MemberID, m AppendReply) {
	if m.term > c.term {
		c.follow(m.term, "")
		return
	}
	p := c.peers[from]
	if c.role != Leader || m.term < c.term || p == nil {
		return
	}
	p.heardAt, p.heardOnce = max(p.heardAt, m.stamp), true
	if !m.matched {
		c.backUp(p, m)
		return
	}
	p.match = max(p.match, m.index)
	if m.round > p.resetAt && m.index >= p.next-1 {
		p.probing, p.installAt = false, time.Time{}
	}
	p.next = max(p.next, p.match+1)
	p.inFlight = slices.DeleteFunc(p.inFlight, func(last uint64) bool { return last <= p.match })
}

// backUp moves next to where the logs can agree; replies to earlier rounds than the last move are stale.
func (c *Core) backUp(p *progress, m AppendReply) {
	if m.round <= p.resetAt || m.index <= p.match || c.now.Before(p.installAt) {
		return
	}
	next := m.conflictIndex
	if m.conflictTerm > 0 {
		if i, t, ok := c.log.lastOfTerm(m.index, m.conflictTerm); ok && t == m.conflictTerm {
			next = i + 1
		}
	}
	p.next = max(min(next, m.index, c.log.lastIndex()+1), p.match+1)
	p.probing, p.due, p.inFlight = true, true, nil
	p.resetAt = c.round
}

// advance commits the highest entry of the own term that a majority has on disk.
func (c *Core) advance() {
	index := c.majorityMatch()
	if t, ok := c.log.term(index); index <= c.commit || !ok || t != c.term {
		return
	}
	c.commit = index
}

func (c *Core) majorityMatch() uint64 {
	matches := make([]uint64, 0, len(c.membership.members))
	for _, e := range c.membership.members {
		switch {
		case !e.voter:
		case e.id == c.self:
			matches = append(matches, c.writes.durable)
		default:
			matches = append(matches, c.peers[e.id].match)
		}
	}
	slices.Sort(matches)
	return matches[len(matches)-c.membership.Majority()]
}

// LeaseEnds returns until when no other member can lead; it is zero on a member that does not lead.
func (c *Core) LeaseEnds() time.Time {
	if c.role != Leader || c.transfer != nil && c.transfer.told {
		return time.Time{}
	}
	stamps := make([]time.Time, 0, len(c.membership.members))
	for _, e := range c.membership.members {
		switch p := c.peers[e.id]; {
		case !e.voter:
		case e.id == c.self:
			stamps = append(stamps, c.now)
		case p.heardOnce:
			stamps = append(stamps, c.epoch.Add(p.heardAt))
		default:
			stamps = append(stamps, time.Time{})
		}
	}
	slices.SortFunc(stamps, time.Time.Compare)
	asked := stamps[len(stamps)-c.membership.Majority()]
	if asked.IsZero() {
		return time.Time{}
	}
	return lease.NewHeld(asked, c.timing.lease).Ends()
}

// quorumEnds returns when the leader steps down unless more voters answer; a new
// leader has one lease to reach them.
func (c *Core) quorumEnds() time.Time {
	first := lease.NewHeld(c.leaderSince, c.timing.lease).Ends()
	if ends := c.LeaseEnds(); ends.After(first) {
		return ends
	}
	return first
}

// heardUntilNow keeps a former leader from helping to depose a successor that it does not know.
func (c *Core) heardUntilNow() lease.Granted { return lease.NewGranted(c.now, 0) }
