package driver

import (
	"rosemarywind.example/rosemarywind/internal/ledger"
)

// maxStrangers bounds the senders outside the membership that are remembered; more than a few are a fault.
const maxStrangers = 64

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
	if _, ok := l.core.Membership().Find(d.from); !ok {
		if len(l.strangers) >= maxStrangers {
			clear(l.strangers)
		}
		l.strangers[d.from] = d.address
	}
	l.step(ledger.NewReceive(d.from, d.message))
}

// send answers members that the membership does not know at the address that they wrote from.
func (l *loop[R]) send(e ledger.Send) {
	address := e.Address()
	if address == "" {
		address = l.strangers[e.To()]
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
