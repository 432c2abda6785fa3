package storage_test

import (
	"slices"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// oracle knows what was promised: leaders by term, committed entries by index, acknowledged proposals.
type oracle struct {
	check        checker
	founding     ledger.Membership
	leaders      map[uint64]ledger.MemberID
	committed    []ledger.Entry
	acknowledged map[string]bool
}

func newOracle(check checker, founding ledger.Membership) *oracle {
	return &oracle{check: check, founding: founding, leaders: map[uint64]ledger.MemberID{}, acknowledged: map[string]bool{}}
}

func (o *oracle) leads(term uint64, id ledger.MemberID) {
	if other, ok := o.leaders[term]; ok && other != id {
		o.check.Fatalf("%s and %s lead term %d", other, id, term)
	}
	o.leaders[term] = id
}

// commits checks that a committed entry stays at its index for ever at every member.
func (o *oracle) commits(host string, e ledger.Entry) {
	switch at := int(e.Index()) - 1; {
	case at > len(o.committed):
		o.check.Fatalf("%s commits entry %d after %d", host, e.Index(), len(o.committed))
	case at == len(o.committed):
		o.committed = append(o.committed, e)
	case o.committed[at].Term() != e.Term() || string(o.committed[at].Data()) != string(e.Data()):
		o.check.Fatalf("%s commits %q of term %d at %d, which was %q of term %d", host,
			e.Data(), e.Term(), e.Index(), o.committed[at].Data(), o.committed[at].Term())
	}
}

func (o *oracle) restores(host string, index uint64, lines []string) {
	if int(index) > len(o.committed) {
		o.check.Fatalf("%s restores a snapshot at %d, but %d entries are committed", host, index, len(o.committed))
	}
	if want := o.lines(index); !slices.Equal(want, lines) {
		o.check.Fatalf("%s restores %v at %d, which was %v", host, lines, index, want)
	}
}

func (o *oracle) lines(index uint64) (lines []string) {
	for _, e := range o.committed[:index] {
		if e.Kind() == ledger.Data {
			lines = append(lines, string(e.Data()))
		}
	}
	return lines
}

// membership returns the latest one that is known to be committed.
func (o *oracle) membership() ledger.Membership {
	for _, e := range slices.Backward(o.committed) {
		if e.Kind() == ledger.Config {
			return e.Membership()
		}
	}
	return o.founding
}

// checkFinal checks that all acknowledged proposals are in the final log exactly once.
func (o *oracle) checkFinal(lines []string) {
	count := map[string]int{}
	for _, l := range lines {
		count[l]++
	}
	for l := range o.acknowledged {
		count[l] += 0
	}
	for l, n := range count {
		if n > 1 || n < 1 && o.acknowledged[l] {
			o.check.Fatalf("%q is in the final log %d times", l, n)
		}
	}
}
