package driver

import (
	"rosemarywind.example/rosemarywind/internal/ledger"
)

// maxSenders bounds the addresses that are remembered; more than a few are a fault.
const maxSenders = 64

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
	if d.to != "" && d.to != l.core.Self() {
		return
	}
	if len(l.senders) >= maxSenders {
		clear(l.senders)
	}
	l.senders[d.from] = d.address
	l.step(ledger.NewReceive(d.from, d.message))
}

// send reaches a member where it wrote from: the membership does not know strangers, and names an earlier address of a
// member that has moved.
func (l *loop[R]) send(e ledger.Send) {
	address, heard := l.senders[e.To()]
	if !heard {
		address = e.Address()
	}
	l.node.send(l.core.Self(), e, address)
}

func (n *Node[R]) send(from ledger.MemberID, e ledger.Send, address string) {
	if address == "" {
		return
	}
	m, err := encode(delivery{to: e.To(), from: from, address: n.options.address, message: e.Message()})
	if err == nil {
		n.options.transport.Send(e.To(), address, m)
	}
}
