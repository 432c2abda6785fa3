package ledger

import (
	"maps"
	"slices"
	"time"
)

// joinInterval is the time between two requests of a non-voter to become a voter.
const joinInterval = time.Second

// requestJoin sends a request to join to every address at which the leader or a member that knows it may be. A member
// that its log does not list sends it as well: it may have received a part of the log from a leader that was replaced
// before this member's admission was committed.
func (c *Core) requestJoin() {
	c.wakeAt = c.now.Add(joinInterval)
	c.sendJoin()
}

// addressChanged reports whether the membership lists this member under an address other than its own.
func (c *Core) addressChanged() bool {
	e, known := c.membership.Find(c.self)
	return known && e.address != c.address
}

// onJoin records a member that asks to become a voter or that has changed its address. A request to replace a
// recently active member is ignored. A follower forwards the request to the leader, because the joining member may
// not know it.
func (c *Core) onJoin(from MemberID, m Join) {
	if m.joiningID != "" {
		from = m.joiningID
	}
	if c.role != Leader {
		if m.joiningID == "" && c.leader != "" {
			c.send(c.leader, m.For(from))
		}
		return
	}
	current, _ := c.membership.Find(from)
	if current.voter && current.address == m.address {
		return
	}
	if old, ok := c.memberToReplace(from, m.address); ok && !current.voter && c.recentlyActive(old) {
		return
	}
	c.joining[from] = m.address
}

// memberToReplace returns another member of the same host or at the same address. Its disk counts as lost once it is
// no longer recently active.
func (c *Core) memberToReplace(id MemberID, address string) (old MemberID, ok bool) {
	for _, e := range c.membership.members {
		if e.id != id && (e.address == address || e.id.host() == id.host()) {
			return e.id, true
		}
	}
	return "", false
}

const (
	// voterTimeout is the time without contact after which a voter becomes a non-voter, either in favour of a joining
	// member or because the quorum tolerates as many failures without it. It becomes a voter again when it returns.
	voterTimeout = 2500 * time.Millisecond
	// baseVoters is the number of voters up to which a silent voter is demoted only in favour of a joining member, and
	// from which on the number of voters is kept odd.
	baseVoters = 3
)

// admit advances each joining member by one membership change: it becomes a non-voter and catches up; then the
// member whose lost disk it replaces is removed, or a silent voter is demoted; only then it becomes a voter. A
// member that has changed its address remains a voter, because it still has its disk.
func (c *Core) admit() {
	if c.addressChanged() {
		c.joining[c.self] = c.address
	}
	c.demoteSilentVoter()
	for _, id := range c.joiningIDs() {
		if c.changePending() || c.transfer != nil {
			return
		}
		address := c.joining[id]
		current, known := c.membership.Find(id)
		old, replaces := c.memberToReplace(id, address)
		switch {
		case !known:
			c.appendMembership(0, c.membership.with(NewMember(id, address, false)))
		case current.address != address:
			c.appendMembership(0, c.membership.with(NewMember(id, address, current.voter)))
		case current.voter:
			delete(c.joining, id)
		case c.peers[id].matchIndex < c.commitIndex:
		case replaces && c.recentlyActive(old):
			delete(c.joining, id)
		case replaces:
			c.appendMembership(0, c.membership.without(old))
		case c.membership.Voters() >= maxVoters:
			delete(c.joining, id)
		default:
			if silent, ok := c.silentVoter(); ok {
				c.appendMembership(0, c.membership.with(NewMember(silent.id, silent.address, false)))
				return
			}
			if c.mustStayOdd() {
				continue
			}
			c.appendMembership(0, c.membership.with(NewMember(id, address, true)))
		}
	}
}

// mustStayOdd reports whether a promotion would leave an even number of voters, because no second member can be
// promoted after it. An even number tolerates no more failures than one voter less, and in a network partition into
// halves neither has a majority. The member stays a non-voter meanwhile.
func (c *Core) mustStayOdd() bool {
	voters := c.membership.Voters()
	return voters >= baseVoters && voters%2 == 1 && c.countPromotable() < 2
}

// countPromotable returns the number of joining non-voters that are caught up and recently active.
func (c *Core) countPromotable() (count int) {
	for id := range c.joining {
		e, known := c.membership.Find(id)
		if p := c.peers[id]; known && !e.voter && p != nil && p.matchIndex >= c.commitIndex && c.recentlyActive(id) {
			count++
		}
	}
	return count
}

// demoteSilentVoter makes a silent voter a non-voter if the number of voters is even and above baseVoters. The odd
// number that is left tolerates as many further failures.
func (c *Core) demoteSilentVoter() {
	voters := c.membership.Voters()
	if voters <= baseVoters || voters%2 == 1 || c.changePending() || c.transfer != nil {
		return
	}
	if silent, ok := c.silentVoter(); ok {
		c.appendMembership(0, c.membership.with(NewMember(silent.id, silent.address, false)))
	}
}

// silentVoter returns a voter without contact for longer than voterTimeout.
func (c *Core) silentVoter() (silent Member, ok bool) {
	for _, e := range c.membership.members {
		if !e.voter || e.id == c.self {
			continue
		}
		lastContact := c.leaderSince
		if p := c.peers[e.id]; p != nil && p.acked {
			lastContact = c.epoch.Add(p.ackedSentAt)
		}
		if c.now.Sub(lastContact) > voterTimeout {
			return e, true
		}
	}
	return Member{}, false
}

// joiningIDs returns the ids of the joining members in ascending order, so that each run takes the same decisions.
func (c *Core) joiningIDs() []MemberID { return slices.Sorted(maps.Keys(c.joining)) }

// recentlyActive reports whether the member is this one or has answered a message that was sent within one lease
// before now.
func (c *Core) recentlyActive(id MemberID) bool {
	p := c.peers[id]
	return id == c.self || p != nil && p.acked && c.epoch.Add(p.ackedSentAt+c.timing.lease).After(c.now)
}
