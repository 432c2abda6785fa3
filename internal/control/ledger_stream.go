package control

import (
	"rosemarywind.example/rosemarywind/internal/keys"
	"rosemarywind.example/rosemarywind/internal/ledger/transport"
	"rosemarywind.example/rosemarywind/internal/link"
)

// RoleName is the role in the certificate of a control host.
const RoleName = "control"

// serveLedger delivers the ledger messages of another member; it refuses peers that are not control hosts.
func (c *Control) serveLedger(s *link.Stream) {
	peer, err := keys.PeerIdentity(s.TLS())
	if err != nil || peer.Role() != RoleName {
		c.logger.Warn("ledger messages refused", "peer", s.RemoteAddr().String())
		return
	}
	if err := transport.Receive(s, c.node.Deliver); err != nil {
		c.logger.Debug("ledger stream ended", "peer", s.RemoteAddr().String(), "error", err)
	}
}
