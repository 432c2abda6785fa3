package batch

import "slices"

// prefixes finds the queues of one host by their path prefixes. A lookup takes as long as there are different lengths of
// prefixes, not as there are queues, of which a host may have thousands.
type prefixes struct {
	queues  map[string]Queue
	lengths []int // of all prefixes, each once, the longest first
}

func newPrefixes() *prefixes { return &prefixes{queues: map[string]Queue{}} }

// add adds a queue with a prefix that no other has.
func (p *prefixes) add(q Queue) {
	p.queues[q.prefix] = q
	at, known := slices.BinarySearchFunc(p.lengths, len(q.prefix), func(length, wanted int) int { return wanted - length })
	if !known {
		p.lengths = slices.Insert(p.lengths, at, len(q.prefix))
	}
}

// longest returns the queue with the longest prefix of a path; a nil receiver has none.
func (p *prefixes) longest(path string) (q Queue, ok bool) {
	if p == nil {
		return q, false
	}
	for _, length := range p.lengths {
		if length > len(path) {
			continue
		}
		if q, ok = p.queues[path[:length]]; ok {
			return q, true
		}
	}
	return q, false
}
