package storage_test

import (
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// oracle records the leaders by term, the committed entries by index and the acknowledged proposals, and checks that
// they stay consistent.
type oracle struct {
	t            failer
	initial      ledger.Membership
	leaders      map[uint64]ledger.MemberID
	committed    []ledger.Entry
	committedAt  []time.Time // by index, as committed
	configs      []int       // indexes in committed of the memberships
	acknowledged map[string]bool
}

func newOracle(t failer, initial ledger.Membership) *oracle {
	return &oracle{t: t, initial: initial, leaders: map[uint64]ledger.MemberID{}, acknowledged: map[string]bool{}}
}

func (o *oracle) recordLeader(term uint64, id ledger.MemberID) {
	if other, ok := o.leaders[term]; ok && other != id {
		o.t.Fatalf("%s and %s lead term %d", other, id, term)
	}
	o.leaders[term] = id
}

// checkCommit checks that every host commits the same entry at an index.
func (o *oracle) checkCommit(host string, e ledger.Entry, now time.Time) {
	switch at := int(e.Index()) - 1; {
	case at > len(o.committed):
		o.t.Fatalf("%s commits entry %d after %d", host, e.Index(), len(o.committed))
	case at == len(o.committed):
		if e.Kind() == ledger.Config {
			o.configs = append(o.configs, at)
		}
		o.committed, o.committedAt = append(o.committed, e), append(o.committedAt, now)
	case o.committed[at].Term() != e.Term() || string(o.committed[at].Data()) != string(e.Data()):
		o.t.Fatalf("%s commits %q of term %d at %d, which was %q of term %d", host,
			e.Data(), e.Term(), e.Index(), o.committed[at].Data(), o.committed[at].Term())
	}
}

func (o *oracle) checkRestore(host string, index uint64, lines []string) {
	if int(index) > len(o.committed) {
		o.t.Fatalf("%s restores a snapshot at %d, but %d entries are committed", host, index, len(o.committed))
	}
	if want := o.committedLines(index); !slices.Equal(want, lines) {
		o.t.Fatalf("%s restores %v at %d, which was %v", host, lines, index, want)
	}
}

func (o *oracle) committedLines(index uint64) (lines []string) {
	for _, e := range o.committed[:index] {
		if e.Kind() == ledger.Data {
			lines = append(lines, string(e.Data()))
		}
	}
	return lines
}

// membership returns the latest membership known to be committed.
func (o *oracle) membership() ledger.Membership {
	if len(o.configs) == 0 {
		return o.initial
	}
	return o.committed[o.configs[len(o.configs)-1]].Membership()
}

// commitBefore returns the index up to which entries were committed before t.
func (o *oracle) commitBefore(t time.Time) uint64 {
	i, _ := slices.BinarySearchFunc(o.committedAt, t, time.Time.Compare)
	return uint64(i)
}

// checkFinal checks that the final log contains each acknowledged proposal exactly once, and no proposal twice.
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
			o.t.Fatalf("%q is in the final log %d times", l, n)
		}
	}
}
