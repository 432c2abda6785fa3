package link

// Traffic counts the traffic of a pool's open connections, without IP and UDP headers.
type Traffic struct {
	sentBytes       uint64
	receivedBytes   uint64
	sentPackets     uint64
	receivedPackets uint64
}

// SentBytes returns the bytes sent, as QUIC packets.
func (t Traffic) SentBytes() uint64 { return t.sentBytes }

// ReceivedBytes returns the bytes received, as QUIC packets.
func (t Traffic) ReceivedBytes() uint64 { return t.receivedBytes }

// SentPackets returns the number of QUIC packets sent.
func (t Traffic) SentPackets() uint64 { return t.sentPackets }

// ReceivedPackets returns the number of QUIC packets received.
func (t Traffic) ReceivedPackets() uint64 { return t.receivedPackets }

// Traffic returns the traffic of all connections that are open now, each since it was opened.
func (p *Pool) Traffic() (t Traffic) {
	for _, r := range *p.remotes.Load() {
		c := r.current.Load()
		if c == nil {
			continue
		}
		s := c.ConnectionStats()
		t.sentBytes += s.BytesSent
		t.receivedBytes += s.BytesReceived
		t.sentPackets += s.PacketsSent
		t.receivedPackets += s.PacketsReceived
	}
	return t
}
