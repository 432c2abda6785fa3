package ledger

import (
	"maps"
	"slices"
	"time"
)

// joinInterval is how often a member that is no voter asks to become one.
const joinInterval = time.Second

// askToJoin asks every known member, because the leader may be any. A member that
// was removed has entries and stays away.
func (c *Core) askToJoin() {
	c.wakeAt = c.now.Add(joinInterval)
	if _, known := c.membership.Find(c.self); !known && c.log.lastIndex() > 0 {
		return
	}
	for _, e := range c.membership.members {
		if e.id != c.self {
			c.emit(Send{address: e.address, message: Join{address: c.address}})
		}
	}
}

// moved reports whether the others look for this member at an address that it no longer has.
func (c *Core) moved() bool {
	e, known := c.membership.Find(c.self)
	return known && e.address != c.address
}

// onJoin notes a member that asks to become a voter, or that has moved to another address. The place of a member that
// still answers is not given to another one. A follower passes the request on, since who joins may know no leader.
func (c *Core) onJoin(from MemberID, m Join) {
	if m.member != "" {
		from = m.member
	}
	if c.role != Leader {
		if m.member == "" && c.leader != "" {
			c.send(c.leader, m.For(from))
		}
		return
	}
	current, _ := c.membership.Find(from)
	if current.voter && current.address == m.address {
		return
	}
	if old, ok := c.predecessor(from, m.address); ok && !current.voter && c.answers(old) {
		return
	}
	c.joining[from] = m.address
}

// predecessor returns another member of the same host, or at the same address: its disk is gone once it is silent.
func (c *Core) predecessor(id MemberID, address string) (old MemberID, ok bool) {
	for _, e := range c.membership.members {
		if e.id != id && (e.address == address || e.id.host() == id.host()) {
			return e.id, true
		}
	}
	return "", false
}

const (
	// deadAfter is how long a voter is silent before it loses its vote to one that joins, or where the ledger bears more
	// losses without it. It keeps its place as a non-voter, and gets a vote back when it returns.
	deadAfter = 2500 * time.Millisecond
	// fewVoters is the number of voters up to which a silent one keeps its vote, and from which on their number stays odd.
	fewVoters = 3
)

// admit takes joining members one step further: they become non-voters, catch up,
// replace the member whose disk is gone, take the vote of one that is silent, and only
// then become voters. A member that has moved keeps its vote, since its disk is the same.
func (c *Core) admit() {
	if c.moved() {
		c.joining[c.self] = c.address
	}
	c.demote()
	for _, id := range c.joiners() {
		if c.changePending() || c.transfer != nil {
			return
		}
		address := c.joining[id]
		current, known := c.membership.Find(id)
		old, replaces := c.predecessor(id, address)
		switch {
		case !known:
			c.changeTo(0, c.membership.with(NewMember(id, address, false)))
		case current.address != address:
			c.changeTo(0, c.membership.with(NewMember(id, address, current.voter)))
		case current.voter:
			delete(c.joining, id)
		case c.peers[id].match < c.commit:
		case replaces && c.answers(old):
			delete(c.joining, id)
		case replaces:
			c.changeTo(0, c.membership.without(old))
		case c.membership.Voters() >= maxVoters:
			delete(c.joining, id)
		default:
			if dead, ok := c.silentVoter(); ok {
				c.changeTo(0, c.membership.with(NewMember(dead.id, dead.address, false)))
				return
			}
			if c.staysOdd() {
				continue
			}
			c.changeTo(0, c.membership.with(NewMember(id, address, true)))
		}
	}
}

// staysOdd reports whether one more voter would make an odd number of voters even for good. An even number bears no more
// losses than one less, and has no majority when it is split into halves; the member without a vote stands by.
func (c *Core) staysOdd() bool {
	voters := c.membership.Voters()
	return voters >= fewVoters && voters%2 == 1 && c.candidates() < 2
}

// candidates counts the joining members that could become voters now.
func (c *Core) candidates() (count int) {
	for id := range c.joining {
		e, known := c.membership.Find(id)
		if p := c.peers[id]; known && !e.voter && p != nil && p.match >= c.commit && c.answers(id) {
			count++
		}
	}
	return count
}

// demote takes the vote of a silent member where an even number of voters becomes an odd one, which bears as many
// further losses with one member less.
func (c *Core) demote() {
	voters := c.membership.Voters()
	if voters <= fewVoters || voters%2 == 1 || c.changePending() || c.transfer != nil {
		return
	}
	if dead, ok := c.silentVoter(); ok {
		c.changeTo(0, c.membership.with(NewMember(dead.id, dead.address, false)))
	}
}

// silentVoter returns a voter that was not heard for long.
func (c *Core) silentVoter() (silent Member, ok bool) {
	for _, e := range c.membership.members {
		if !e.voter || e.id == c.self {
			continue
		}
		heard := c.leaderSince
		if p := c.peers[e.id]; p != nil && p.heardOnce {
			heard = c.epoch.Add(p.heardAt)
		}
		if c.now.Sub(heard) > deadAfter {
			return e, true
		}
	}
	return Member{}, false
}

// joiners returns the joining members in a fixed order.
func (c *Core) joiners() []MemberID { return slices.Sorted(maps.Keys(c.joining)) }

// answers reports whether a member is this one or was heard within the last lease.
func (c *Core) answers(id MemberID) bool {
	p := c.peers[id]
	return id == c.self || p != nil && p.heardOnce && c.epoch.Add(p.heardAt+c.timing.lease).After(c.now)
}
