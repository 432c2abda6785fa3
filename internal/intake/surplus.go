package intake

// readerBytes is the size of the buffer in which net/http keeps what it has read and not used; a byte more may have been
// read to find out whether the client has left.
const readerBytes = 4<<10 + 1

// surplus keeps what has arrived behind the head of a request, to find out how much of the next request net/http has read
// together with it. Those bytes lie in its buffer, where no later read sees them.
type surplus struct {
	arrived int64  // bytes behind the head
	tail    []byte // the last of them
}

// read records bytes that arrived behind the head.
func (s *surplus) read(p []byte) {
	s.arrived += int64(len(p))
	if len(p) > readerBytes {
		// A longer read is one into the memory of the reader of a body; the buffer was empty.
		s.tail = s.tail[:0]
		return
	}
	s.tail = append(s.tail, p...)
	if n := len(s.tail) - readerBytes; n > 0 {
		s.tail = append(s.tail[:0], s.tail[n:]...)
	}
}

// next ends the request, whose body has the given length, and begins the next one with what has arrived of it. It returns
// the state of its head and the cost. A negative length is not known; then the cost is an upper bound, and the head begins
// with what arrives from now on.
func (s *surplus) next(length int64) (m headMeter, cost int64) {
	rest := s.tail
	if length >= 0 {
		rest = rest[len(rest)-int(min(max(s.arrived-length, 0), int64(len(rest)))):]
	}
	*s = surplus{}
	if length < 0 {
		var unknown headMeter
		for len(rest) > 0 {
			cost += unknown.next(rest)
			rest, unknown = rest[unknown.bytes:], headMeter{}
		}
		return headMeter{}, cost
	}
	cost = m.next(rest)
	if n := m.bytes; n < int64(len(rest)) {
		s.read(rest[n:])
	}
	return m, cost
}
