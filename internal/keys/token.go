package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
)

// tokenBytes gives a token 256 bits, so that its digest needs no salt and no slow hash.
const tokenBytes = 32

// NewToken returns a random bearer token.
func NewToken() string {
	b := make([]byte, tokenBytes)
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

// Digest returns the digest of a token as sha256:HEX.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Match reports whether a digest belongs to the token; its time depends only on the number of digests.
func Match(token string, digests []string) bool {
	own := []byte(Digest(token))
	found := 0
	for _, d := range digests {
		found |= subtle.ConstantTimeCompare(own, []byte(d))
	}
	return found == 1 && token != ""
}
