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
	delete(c.leavingAt, from)
	if old, ok := c.memberToReplace(from, m.address); ok && !current.voter && c.recentlyActive(old) {
		return
	}
	c.joining[from] = m.address
}

// memberToReplace returns another member at the same address, or one of the same host that is not recently active: a
// member that is has moved to another address with its disk. The disk of a member at the same address counts as lost
// once it is no longer recently active.
func (c *Core) memberToReplace(id MemberID, address string) (old MemberID, ok bool) {
	for _, e := range c.membership.members {
		if e.id != id && (e.address == address || e.id.host() == id.host() && !c.recentlyActive(e.id)) {
			return e.id, true
		}
	}
	return "", false
}

// admit advances each joining member by one membership change: it becomes a non-voter and catches up, and the member
// whose lost disk it replaces is removed. Which members vote is then decided by nextVoterChange. A member that has
// changed its address remains a voter, because it still has its disk.
func (c *Core) admit() {
	if c.addressChanged() {
		c.joining[c.self] = c.address
	}
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
		case !replaces || !c.caughtUp(id):
		case c.recentlyActive(old):
			delete(c.joining, id)
		default:
			delete(c.joining, old) // it would be added again
			c.appendMembership(0, c.membership.without(old))
		}
	}
	if c.changePending() || c.transfer != nil {
		return
	}
	if m, ok := c.nextVoterChange(); ok {
		c.appendMembership(0, c.membership.with(m))
		return
	}
	if lost, ok := c.lostNonVoter(); ok {
		delete(c.joining, lost.id)
		c.appendMembership(0, c.membership.without(lost.id))
	}
}

// joiningIDs returns the ids of the joining members in ascending order, so that each run takes the same decisions.
func (c *Core) joiningIDs() []MemberID { return slices.Sorted(maps.Keys(c.joining)) }
