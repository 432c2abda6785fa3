package ledger

import (
	"slices"
	"time"
)

// Bootstrap decides how a member with an empty disk starts. The member takes part in the first election under
// its configured id only if every other initial member replies that it has seen no term. If the configured id
// had voted or stored entries before its disk was emptied, that was in a term which a candidate had persisted
// first, so that the reply of this candidate shows a term. In that case the member joins under a fresh id, and
// the configured id is never used again. Any other message that proves a term has the same effect: a leader that
// still lists an earlier id of this host sends messages to it, and initial members may be gone for good.
type Bootstrap struct {
	id        MemberID
	freshID   MemberID
	initial   Membership
	seeds     []string        // the seeds of the settings as last read
	replied   map[string]bool // initial members that have replied, by address
	logExists bool
	foundAt   time.Time // no log is started before
}

// foundingDelay is the time within which members that have lost power at the same time are back and have a leader,
// which then sends messages to the members whose disks are lost. It leaves time for an election within 12 s of a start.
const foundingDelay = 7 * time.Second

// NewBootstrap returns the undecided bootstrap of the initial member id; fresh is an id that no member has used.
func NewBootstrap(id, fresh MemberID, initial Membership) *Bootstrap {
	return &Bootstrap{id: id, freshID: fresh, initial: initial, replied: map[string]bool{}}
}

// FreshID returns the unused id, under which the member also sends its probes.
func (b *Bootstrap) FreshID() MemberID { return b.freshID }

// Probes returns a Probe for each other initial member and seed, also for those that have replied, because they may have
// learned of a term since. It is addressed without an id, because the member may have another one now.
func (b *Bootstrap) Probes() (probes []Send) {
	own, _ := b.initial.Find(b.id)
	list := slices.Clone(b.seeds)
	for _, e := range b.initial.members {
		list = append(list, e.address)
	}
	slices.Sort(list)
	for _, address := range slices.Compact(list) {
		if address != own.address {
			probes = append(probes, Send{address: address, message: Probe{}})
		}
	}
	return probes
}

// Unanswered returns the addresses that are probed and have not replied.
func (b *Bootstrap) Unanswered() (addresses []string) {
	for _, p := range b.Probes() {
		if !b.replied[p.address] {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// allReplied reports whether each other initial member has replied.
func (b *Bootstrap) allReplied() bool {
	return !slices.ContainsFunc(b.initial.members, func(e Member) bool { return e.id != b.id && !b.replied[e.address] })
}

// RecordReply records the latest term seen by the member at address; it is 0 for a member with an empty disk.
func (b *Bootstrap) RecordReply(address string, m ProbeReply) {
	b.replied[address] = true
	b.RecordMessage(m)
}

// RecordMessage records any message to this host, also to an earlier id of it.
func (b *Bootstrap) RecordMessage(m Message) { b.logExists = b.logExists || provesLog(m) }

// SetSeeds replaces the seeds of the settings, which are probed beside the initial members.
func (b *Bootstrap) SetSeeds(addresses []string) { b.seeds = addresses }

// DelayFounding makes the member wait for proof of a log for foundingDelay from now. It is meant for a host that is told
// that the system has been started before: then only hosts that were stopped before they had stored anything may have to
// start the log, while all initial members may be hosts whose disks were lost with the log.
func (b *Bootstrap) DelayFounding(now time.Time) { b.foundAt = now.Add(foundingDelay) }

// Decide returns the state that must be persisted before the member starts; ok is false until it can be decided.
func (b *Bootstrap) Decide(now time.Time) (saved PersistentState, ok bool) {
	snapshot := NewSnapshot(0, 0, b.initial, nil)
	switch {
	case b.logExists:
		return NewPersistentState(NewHardState(b.freshID, 0, ""), snapshot, nil), true
	case !b.allReplied() || now.Before(b.foundAt):
		return PersistentState{}, false
	}
	return NewPersistentState(NewHardState(b.id, 0, ""), snapshot, nil), true
}

// BootstrapWithoutProbe returns the initial state of a member that needs no probes: an initial member on the first
// start of the whole system, or a host that is not an initial member, which joins under a fresh id. Otherwise ok is
// false, and the caller uses a Bootstrap.
func BootstrapWithoutProbe(id, fresh MemberID, initial Membership, firstStart bool) (saved PersistentState, ok bool) {
	snapshot := NewSnapshot(0, 0, initial, nil)
	_, isInitial := initial.Find(id)
	switch {
	case isInitial && firstStart:
		return NewPersistentState(NewHardState(id, 0, ""), snapshot, nil), true
	case !isInitial:
		return NewPersistentState(NewHardState(fresh, 0, ""), snapshot, nil), true
	}
	return PersistentState{}, false
}
