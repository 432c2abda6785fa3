package control

import (
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/ledger/transport"
	"rosemarywind.example/rosemarywind/internal/link"
)

// RoleName is the role in the certificates of control hosts.
const RoleName = "control"

// deliver takes the messages of another member; only a control host may send them.
func (c *Control) deliver(s *link.Stream) {
	peer, err := keys.PeerIdentity(s.TLS())
	if err != nil || peer.Role() != RoleName {
		c.logger.Warn("ledger messages refused", "peer", s.RemoteAddr().String())
		return
	}
	if err := transport.Receive(s, c.node.Deliver); err != nil {
		c.logger.Debug("ledger stream ended", "peer", s.RemoteAddr().String(), "error", err)
	}
}
