package link

import (
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// creditBatch is the number of ended streams whose credit is given back to the peer at once. Credit for each stream by
// itself cost a packet for each exchange and its acknowledgement. The streams stay in memory until then.
const creditBatch = 16

// credits are the ended streams of one connection whose credit the peer does not have back yet.
type credits struct {
	held atomic.Pointer[credit]
}

// credit is a list of ended streams; it is immutable.
type credit struct {
	stream *quic.Stream
	next   *credit
	count  int
}

// give gives the credit of a stream back, now or with those of later streams.
func (c *credits) give(s *quic.Stream) {
	for {
		held := c.held.Load()
		more := &credit{stream: s, next: held, count: 1}
		if held != nil {
			more.count += held.count
		}
		if more.count < creditBatch {
			if c.held.CompareAndSwap(held, more) {
				return
			}
			continue
		}
		if c.held.CompareAndSwap(held, nil) {
			more.release()
			return
		}
	}
}

func (c *credit) release() {
	for ; c != nil; c = c.next {
		c.stream.ReleaseStreamCredit()
	}
}
