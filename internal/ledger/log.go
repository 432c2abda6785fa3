package ledger

import "slices"

// log holds the latest snapshot and the entries that are kept in memory. Entries
// before the snapshot's end are kept for members that are a little behind.
type log struct {
	snapshot Snapshot
	first    uint64
	baseTerm uint64
	entries  []Entry
}

func newLog(s Snapshot, entries []Entry) log {
	return log{snapshot: s, first: s.index + 1, baseTerm: s.term, entries: slices.Clip(entries)}
}

func (l *log) lastIndex() uint64 { return l.first - 1 + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, if the log still knows it.
func (l *log) term(index uint64) (term uint64, ok bool) {
	switch {
	case index+1 == l.first:
		return l.baseTerm, true
	case index < l.first || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.first].term, true
	}
}

// from returns the entries at and after index; callers must not modify them.
func (l *log) from(index uint64) []Entry { return l.between(index, l.lastIndex()) }

func (l *log) between(low, high uint64) []Entry {
	if low > high {
		return nil
	}
	return slices.Clip(l.entries[low-l.first : high-l.first+1])
}

// append puts entries after the last one that precedes them. What is cut off stays
// untouched in memory because storage or a message may still refer to it.
func (l *log) append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	if at := entries[0].index; at <= l.lastIndex() {
		l.entries = slices.Clip(l.entries[:at-l.first])
	}
	l.entries = append(l.entries, entries...)
}

// firstOfTerm returns the first known index, but not below least, that has the term of the entry at index.
func (l *log) firstOfTerm(index, least uint64) uint64 {
	term, _ := l.term(index)
	for index > least {
		if t, ok := l.term(index - 1); !ok || t != term {
			break
		}
		index--
	}
	return index
}

// lastOfTerm returns the last index at or before index whose term is at most term.
func (l *log) lastOfTerm(index, term uint64) (found, foundTerm uint64, ok bool) {
	for index = min(index, l.lastIndex()); ; index-- {
		t, known := l.term(index)
		if !known {
			return 0, 0, false
		}
		if t <= term {
			return index, t, true
		}
		if index == 0 {
			return 0, 0, false
		}
	}
}

// membership returns the membership in force after the entry at index.
func (l *log) membership(index uint64) (m Membership, at uint64) {
	for i := min(index, l.lastIndex()); i >= l.first && i > l.snapshot.index; i-- {
		if e := l.entries[i-l.first]; e.kind == Config {
			return e.membership, i
		}
	}
	return l.snapshot.membership, l.snapshot.index
}

// compact replaces what s covers, but keeps up to trailing entries of it.
func (l *log) compact(s Snapshot, trailing uint64) {
	l.snapshot = s
	if s.index < trailing || s.index-trailing < l.first {
		return
	}
	first := s.index - trailing + 1
	l.baseTerm, _ = l.term(first - 1)
	l.entries = slices.Clone(l.entries[first-l.first:])
	l.first = first
}
