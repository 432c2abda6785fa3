package link

// Traffic is what the open connections of a pool have carried, without IP and UDP headers.
type Traffic struct {
	sentBytes       uint64
	receivedBytes   uint64
	sentPackets     uint64
	receivedPackets uint64
}

// SentBytes returns the bytes sent.
func (t Traffic) SentBytes() uint64 { return t.sentBytes }

// ReceivedBytes returns the bytes received.
func (t Traffic) ReceivedBytes() uint64 { return t.receivedBytes }

// SentPackets returns the packets sent.
func (t Traffic) SentPackets() uint64 { return t.sentPackets }

// ReceivedPackets returns the packets received.
func (t Traffic) ReceivedPackets() uint64 { return t.receivedPackets }

// Traffic returns what the open connections have carried since each was opened.
func (p *Pool) Traffic() (t Traffic) {
	for _, at := range *p.slots.Load() {
		c := at.current.Load()
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
