package batch

import "maps"

// tally holds a number for each name, without those that are 0; it is immutable.
type tally map[string]int

// plus returns a copy with a number added to that of a name, or the same tally if the number is 0.
func (t tally) plus(name string, number int) tally {
	if number == 0 {
		return t
	}
	next := maps.Clone(t)
	if next == nil {
		next = tally{}
	}
	if next[name] += number; next[name] == 0 {
		delete(next, name)
	}
	return next
}

func (t tally) total() (sum int) {
	for _, number := range t {
		sum += number
	}
	return sum
}
