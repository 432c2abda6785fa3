package driver

import (
	"slices"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Probing is the state of the probes that a member with an empty disk sends before it has an id. It is immutable.
type Probing struct {
	answered   []string
	unanswered []string
}

// Undecided reports whether the member has sent probes and does not know yet how to start.
func (p Probing) Undecided() bool { return len(p.answered)+len(p.unanswered) > 0 }

// Answered returns the addresses that have replied to a probe. The caller must not modify the slice.
func (p Probing) Answered() []string { return p.answered }

// Unanswered returns the addresses that are probed and have not replied. The caller must not modify the slice.
func (p Probing) Unanswered() []string { return p.unanswered }

// with returns the state in which exactly the given addresses have not replied.
func (p Probing) with(unanswered []string) (next Probing) {
	next.unanswered = slices.Sorted(slices.Values(unanswered))
	for _, a := range slices.Concat(p.answered, p.unanswered) {
		if !slices.Contains(unanswered, a) {
			next.answered = append(next.answered, a)
		}
	}
	slices.Sort(next.answered)
	return next
}

// publishProbing publishes which addresses the bootstrap probes, if that has changed.
func (n *Node[R]) publishProbing(b *ledger.Bootstrap) {
	var unanswered []string
	for _, p := range b.Probes() {
		unanswered = append(unanswered, p.Address())
	}
	s := n.status.Load()
	next := s.probing.with(unanswered)
	if slices.Equal(next.answered, s.probing.answered) && slices.Equal(next.unanswered, s.probing.unanswered) {
		return
	}
	s.probing = next
	n.status.Publish(s)
}
