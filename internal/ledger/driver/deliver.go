package driver

import (
	"rosemarywind.example/rosemarywind/internal/ledger"
)

// delivery is a decoded message and where it came from.
type delivery struct {
	to      ledger.MemberID
	from    ledger.MemberID
	address string
	message ledger.Message
}

// Deliver takes a message of the transport. It does not block; it drops a message
// that cannot be decoded, and any message while the inbox is full. From is the sender
// if the transport authenticates member ids, and empty otherwise.
func (n *Node[R]) Deliver(from ledger.MemberID, message []byte) {
	d, err := decode(message)
	if err != nil || from != "" && from != d.from {
		return
	}
	select {
	case n.messages <- d:
	default:
	}
}

// receive passes a message to the core unless it is meant for an earlier identity of this host.
func (l *loop[R]) receive(d delivery) {
	if d.to == l.core.Self() {
		l.step(ledger.NewReceive(d.from, d.message))
	}
}

func (l *loop[R]) send(e ledger.Send) {
	m, err := encode(delivery{to: e.To(), from: l.core.Self(), address: l.node.options.address, message: e.Message()})
	if err != nil {
		return
	}
	l.node.options.transport.Send(e.To(), e.Address(), m)
}
