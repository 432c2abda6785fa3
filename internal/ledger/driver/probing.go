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

// NewProbing returns the state of probes to addresses that have replied and to addresses that have not.
func NewProbing(answered, unanswered []string) Probing {
	return Probing{answered: slices.Sorted(slices.Values(answered)), unanswered: slices.Sorted(slices.Values(unanswered))}
}

// Undecided reports whether the member has sent probes and does not know yet how to start.
func (p Probing) Undecided() bool { return len(p.answered)+len(p.unanswered) > 0 }

// Answered returns the addresses that have replied to a probe. The caller must not modify the slice.
func (p Probing) Answered() []string { return p.answered }

// Unanswered returns the addresses that are probed and have not replied. The caller must not modify the slice.
func (p Probing) Unanswered() []string { return p.unanswered }

// probingOf returns the state of the probes of a bootstrap. An address that is no longer probed, such as a seed that the
// settings do not name any more, is left out.
func probingOf(b *ledger.Bootstrap) Probing {
	unanswered := b.Unanswered()
	var answered []string
	for _, p := range b.Probes() {
		if !slices.Contains(unanswered, p.Address()) {
			answered = append(answered, p.Address())
		}
	}
	return NewProbing(answered, unanswered)
}

// publishProbing publishes which addresses the bootstrap probes, if that has changed.
func (n *Node[R]) publishProbing(b *ledger.Bootstrap) {
	last, next := n.status.Load().probing, probingOf(b)
	if !slices.Equal(next.answered, last.answered) || !slices.Equal(next.unanswered, last.unanswered) {
		n.status.Publish(NewProbingStatus(next))
	}
}
