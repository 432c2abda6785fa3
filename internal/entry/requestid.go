package entry

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// processPrefixBytes is the length of the random prefix that distinguishes processes.
const processPrefixBytes = 8

// requestIDs generates request IDs that are unique across processes.
type requestIDs struct {
	prefix  string
	counter atomic.Uint64
}

func newRequestIDs() *requestIDs {
	var b [processPrefixBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return &requestIDs{prefix: hex.EncodeToString(b[:]) + "-"}
}

func (q *requestIDs) newID() string {
	return q.prefix + strconv.FormatUint(q.counter.Add(1), 36)
}
