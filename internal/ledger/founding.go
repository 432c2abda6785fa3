package ledger

// Founding decides how a member with a fresh disk begins. It founds the ledger under
// its configured id only when every other initial member says that it has seen no
// term, because a member that voted or stored entries under that id before its disk
// was emptied did so in a term that a candidate had stored first. Otherwise it joins
// under a fresh id, and the old one never acts again.
type Founding struct {
	id      MemberID
	fresh   MemberID
	initial Membership
	answers map[string]uint64
}

// NewFounding returns the decision for the initial member id; fresh is an id that nobody has used.
func NewFounding(id, fresh MemberID, initial Membership) *Founding {
	return &Founding{id: id, fresh: fresh, initial: initial, answers: map[string]uint64{}}
}

// Fresh returns the id under which the member asks the others.
func (f *Founding) Fresh() MemberID { return f.fresh }

// Ask returns the questions to those that have not answered, whatever their ids are now.
func (f *Founding) Ask() (questions []Send) {
	for _, e := range f.initial.members {
		if _, answered := f.answers[e.address]; e.id != f.id && !answered {
			questions = append(questions, Send{address: e.address, message: Probe{}})
		}
	}
	return questions
}

// Answer notes that the member at an address has seen a term; a fresh disk has seen term 0.
func (f *Founding) Answer(address string, m ProbeReply) { f.answers[address] = m.term }

// Decide returns what the disk must hold before the member begins, once that is known.
func (f *Founding) Decide() (saved Saved, ok bool) {
	founding := NewSnapshot(0, 0, f.initial, nil)
	for _, term := range f.answers {
		if term > 0 {
			return NewSaved(NewHardState(f.fresh, 0, ""), founding, nil), true
		}
	}
	if len(f.Ask()) > 0 {
		return Saved{}, false
	}
	return NewSaved(NewHardState(f.id, 0, ""), founding, nil), true
}

// FoundAtOnce returns what the disk of a member must hold that needs to ask nobody: an initial member of a system that
// starts for the first time, and a host that is no initial member, which joins under a fresh id.
func FoundAtOnce(id, fresh MemberID, initial Membership, first bool) (saved Saved, ok bool) {
	founding := NewSnapshot(0, 0, initial, nil)
	_, member := initial.Find(id)
	switch {
	case member && first:
		return NewSaved(NewHardState(id, 0, ""), founding, nil), true
	case !member:
		return NewSaved(NewHardState(fresh, 0, ""), founding, nil), true
	}
	return Saved{}, false
}
