package link

import (
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// creditBatch is the number of ended streams whose credit is returned to the peer at once. Returning the credit of each
// stream by itself costs a packet and its acknowledgement per exchange. Until then the streams stay in memory.
const creditBatch = 16

// creditBatcher collects the ended streams of one connection until it returns their credit to the peer.
type creditBatcher struct {
	pending atomic.Pointer[endedStream]
}

// endedStream is a node of an immutable list of ended streams; count is the length of the list from here.
type endedStream struct {
	stream *quic.Stream
	next   *endedStream
	count  int
}

// add returns the credit of an ended stream, at once or in a batch with later streams.
func (c *creditBatcher) add(s *quic.Stream) {
	for {
		pending := c.pending.Load()
		list := &endedStream{stream: s, next: pending, count: 1}
		if pending != nil {
			list.count += pending.count
		}
		if list.count < creditBatch {
			if c.pending.CompareAndSwap(pending, list) {
				return
			}
			continue
		}
		if c.pending.CompareAndSwap(pending, nil) {
			list.release()
			return
		}
	}
}

// release returns the credit of all streams of the list to the peer.
func (e *endedStream) release() {
	for ; e != nil; e = e.next {
		e.stream.ReleaseStreamCredit()
	}
}
