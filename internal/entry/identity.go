package entry

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

const processPrefixBytes = 8

// identities draws names of requests that no other process and no earlier request has.
type identities struct {
	prefix string
	next   atomic.Uint64
}

func newIdentities() *identities {
	var b [processPrefixBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return &identities{prefix: hex.EncodeToString(b[:]) + "-"}
}

func (i *identities) draw() string {
	return i.prefix + strconv.FormatUint(i.next.Add(1), 36)
}
