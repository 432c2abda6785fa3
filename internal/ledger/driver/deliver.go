package driver

import (
	"rosemarywind.example/rosemarywind/internal/ledger"
)

// maxPeerAddresses is the number of sender addresses at which the table is cleared. Correct operation has only a few.
const maxPeerAddresses = 64

// envelope is a message with its receiver and sender. An empty receiver means any member at the address.
type envelope struct {
	to      ledger.MemberID
	from    ledger.MemberID
	address string
	message ledger.Message
}

// Deliver accepts an encoded message from the transport. It does not block: it drops a message that cannot be decoded,
// and any message while the queue is full. From is the id of the sender if the transport authenticates member ids, and
// empty otherwise.
func (n *Node[R]) Deliver(from ledger.MemberID, message []byte) {
	e, err := decodeEnvelope(message)
	if err != nil || from != "" && from != e.from {
		return
	}
	select {
	case n.messages <- e:
	default:
	}
}

// receive passes a message to the core. Of one that is addressed to an earlier id of this host, only the sender matters.
func (l *loop[R]) receive(e envelope) {
	if e.to != "" && e.to != l.core.Self() {
		l.step(ledger.NewOverheard(e.address, e.message))
		return
	}
	if len(l.peerAddresses) >= maxPeerAddresses {
		clear(l.peerAddresses)
	}
	l.peerAddresses[e.from] = e.address
	l.step(ledger.NewReceive(e.from, e.message))
}

// send sends a message to the address from which the receiver last sent one. The membership does not contain joining
// members, and may still list an earlier address of a member.
func (l *loop[R]) send(e ledger.Send) {
	address, known := l.peerAddresses[e.To()]
	if !known {
		address = e.Address()
	}
	l.node.send(l.core.Self(), e, address)
}

func (n *Node[R]) send(from ledger.MemberID, e ledger.Send, address string) {
	if address == "" {
		return
	}
	m, err := encodeEnvelope(envelope{to: e.To(), from: from, address: n.options.address, message: e.Message()})
	if err == nil {
		n.options.transport.Send(e.To(), address, m)
	}
}
