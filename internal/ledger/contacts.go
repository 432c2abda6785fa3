package ledger

import (
	"slices"
	"time"
)

// contacts holds addresses of hosts that may know the log although the membership of this member does not list them:
// the settings may have changed since its disk was initialized, and all members that it knows may be gone.
type contacts struct {
	seeds []string  // the seeds of the settings as last read
	heard []string  // senders of messages to an earlier id of this host, the latest last
	askAt time.Time // time of a voter's next request to join
}

// maxHeard is more than the number of hosts from which the leader can be elected.
const maxHeard = 8

// Seeds is the input for the seed addresses of the settings, at the start and at each change.
type Seeds struct{ addresses []string }

// Overheard is the input for a message to an earlier id of this host: a member that still lists this id sent it.
type Overheard struct {
	address string
	message Message
}

func (Seeds) input()     {}
func (Overheard) input() {}

// NewSeeds returns the input for the seed addresses of the settings, which the caller must not modify afterwards.
func NewSeeds(addresses []string) Seeds { return Seeds{addresses: addresses} }

// NewOverheard returns the input for a message that a member at address has sent to an earlier id of this host.
func NewOverheard(address string, m Message) Overheard {
	return Overheard{address: address, message: m}
}

// hear records the sender of a message that proves that the log exists, and reports whether the sender is new.
func (k *contacts) hear(address string, m Message) (isNew bool) {
	if address == "" || !provesLog(m) || slices.Contains(k.heard, address) {
		return false
	}
	if k.heard = append(k.heard, address); len(k.heard) > maxHeard {
		k.heard = slices.Delete(k.heard, 0, 1)
	}
	return true
}

// provesLog reports whether a message can only come from a member that has seen a term or knows of one that has.
func provesLog(m Message) bool {
	switch m := m.(type) {
	case PreVote:
		return m.term > 1 // the term that would follow the one of the sender
	case PreVoteReply:
		return m.currentTerm > 0
	case RequestVote:
		return m.term > 0
	case RequestVoteReply:
		return m.term > 0
	case AppendEntries:
		return m.term > 0
	case AppendEntriesReply:
		return m.term > 0
	case InstallSnapshot:
		return m.term > 0
	case TimeoutNow:
		return m.term > 0
	case ProbeReply:
		return m.term > 0 || m.logExists
	case Leave:
		return true // it is sent to the leader only
	case Probe, Join:
	}
	return false
}

// onOverheard records the sender. A non-voter that did not know it asks it to join at once.
func (c *Core) onOverheard(in Overheard) {
	if c.contacts.hear(in.address, in.message) {
		c.askSoon()
	}
}

// onSeeds replaces the seeds. A non-voter asks the new ones to join at once.
func (c *Core) onSeeds(in Seeds) {
	if slices.Equal(c.contacts.seeds, in.addresses) {
		return
	}
	c.contacts.seeds = in.addresses
	c.askSoon()
}

// askSoon makes a non-voter send its next request to join at once.
func (c *Core) askSoon() {
	if !c.membership.isVoter(c.self) {
		c.wakeAt = c.now
	}
}

// askAsVoter sends a request to join from a member that takes itself for a voter and finds no leader: it may have been
// removed, and the members that it knows replaced, while it was down. A leader that lists it as a voter ignores it.
func (c *Core) askAsVoter() {
	if c.role == Leader || !c.membership.isVoter(c.self) || c.now.Before(c.contacts.askAt) {
		return
	}
	c.contacts.askAt = c.now.Add(joinInterval)
	c.sendJoin()
}

// sendJoin sends a request to join to each address at which the leader or a member that knows it may be, unless this
// member is about to stop.
func (c *Core) sendJoin() {
	if c.leaving {
		return
	}
	for _, a := range c.joinAddresses() {
		c.emit(Send{address: a, message: Join{address: c.address}})
	}
}

// joinAddresses returns the addresses of the other members and of the contacts, without duplicates.
func (c *Core) joinAddresses() (list []string) {
	for _, e := range c.membership.members {
		if e.id != c.self {
			list = append(list, e.address)
		}
	}
	list = append(append(list, c.contacts.seeds...), c.contacts.heard...)
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(a string) bool { return a == c.address })
}
