package ledger

// Bootstrap decides how a member with an empty disk starts. The member takes part in the first election under
// its configured id only if every other initial member replies that it has seen no term. If the configured id
// had voted or stored entries before its disk was emptied, that was in a term which a candidate had persisted
// first, so that the reply of this candidate shows a term. In that case the member joins under a fresh id, and
// the configured id is never used again.
type Bootstrap struct {
	id      MemberID
	freshID MemberID
	initial Membership
	terms   map[string]uint64
}

// NewBootstrap returns the undecided bootstrap of the initial member id; fresh is an id that no member has used.
func NewBootstrap(id, fresh MemberID, initial Membership) *Bootstrap {
	return &Bootstrap{id: id, freshID: fresh, initial: initial, terms: map[string]uint64{}}
}

// FreshID returns the unused id, under which the member also sends its probes.
func (b *Bootstrap) FreshID() MemberID { return b.freshID }

// Probes returns a Probe for each other initial member that has not replied. It is addressed without an id,
// because the member may have another one now.
func (b *Bootstrap) Probes() (probes []Send) {
	for _, e := range b.initial.members {
		if _, replied := b.terms[e.address]; e.id != b.id && !replied {
			probes = append(probes, Send{address: e.address, message: Probe{}})
		}
	}
	return probes
}

// RecordReply records the latest term seen by the member at address; it is 0 for a member with an empty disk.
func (b *Bootstrap) RecordReply(address string, m ProbeReply) { b.terms[address] = m.term }

// Decide returns the state that must be persisted before the member starts; ok is false until it can be decided.
func (b *Bootstrap) Decide() (saved PersistentState, ok bool) {
	snapshot := NewSnapshot(0, 0, b.initial, nil)
	for _, term := range b.terms {
		if term > 0 {
			return NewPersistentState(NewHardState(b.freshID, 0, ""), snapshot, nil), true
		}
	}
	if len(b.Probes()) > 0 {
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
