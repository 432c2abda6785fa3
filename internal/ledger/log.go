package ledger

import "slices"

// log holds the latest snapshot and the entries in memory. These may include entries that the snapshot covers, for
// members that lag slightly.
type log struct {
	snapshot   Snapshot
	firstIndex uint64
	baseTerm   uint64 // term of the entry before firstIndex
	entries    []Entry
}

func newLog(s Snapshot, entries []Entry) log {
	return log{snapshot: s, firstIndex: s.index + 1, baseTerm: s.term, entries: slices.Clip(entries)}
}

func (l *log) lastIndex() uint64 { return l.firstIndex - 1 + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index; ok is false if it is compacted or not appended yet.
func (l *log) term(index uint64) (term uint64, ok bool) {
	switch {
	case index+1 == l.firstIndex:
		return l.baseTerm, true
	case index < l.firstIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.firstIndex].term, true
	}
}

// entriesFrom returns the entries from index on. Callers must not modify them.
func (l *log) entriesFrom(index uint64) []Entry { return l.entriesBetween(index, l.lastIndex()) }

func (l *log) entriesBetween(low, high uint64) []Entry {
	if low > high {
		return nil
	}
	return slices.Clip(l.entries[low-l.firstIndex : high-l.firstIndex+1])
}

// append appends entries and drops those with the same or a higher index. The dropped entries stay unchanged in
// memory, because a pending write or message may still refer to them.
func (l *log) append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	if at := entries[0].index; at <= l.lastIndex() {
		l.entries = slices.Clip(l.entries[:at-l.firstIndex])
	}
	l.entries = append(l.entries, entries...)
}

// firstOfTerm returns the lowest index in memory, but not below least, whose entry has the term of that at index.
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

// lastOfTerm returns the highest index up to index whose term is at most term.
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

// membership returns the membership in force after the entry at index, and the index that set it.
func (l *log) membership(index uint64) (m Membership, at uint64) {
	for i := min(index, l.lastIndex()); i >= l.firstIndex && i > l.snapshot.index; i-- {
		if e := l.entries[i-l.firstIndex]; e.kind == Config {
			return e.membership, i
		}
	}
	return l.snapshot.membership, l.snapshot.index
}

// compact replaces the entries covered by s, except for the latest ones within the bounds, which stay in memory.
func (l *log) compact(s Snapshot, t Trailing) {
	l.snapshot = s
	first := l.trailingFrom(s.index, t)
	if first <= l.firstIndex {
		return
	}
	l.baseTerm, _ = l.term(first - 1)
	l.entries = slices.Clone(l.entries[first-l.firstIndex:])
	l.firstIndex = first
}

// trailingFrom returns the lowest index in memory from which the entries up to the given one are within the bounds.
func (l *log) trailingFrom(last uint64, t Trailing) (first uint64) {
	bytes := 0
	for first = last + 1; first > l.firstIndex && last+1-first < t.entries; first-- {
		bytes += len(l.entries[first-1-l.firstIndex].data)
		if bytes > t.bytes {
			return first
		}
	}
	return first
}
