package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
)

// tokenBytes is the length of a token: 256 random bits, so that its digest needs no salt and no slow hash.
const tokenBytes = 32

// NewToken returns a random bearer token of 256 bits in unpadded base64url.
func NewToken() string {
	b := make([]byte, tokenBytes)
	// crypto/rand.Read returns no error; it crashes the process if no randomness is available.
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

// Digest returns the SHA-256 digest of a token as sha256:HEX.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Match reports whether one of the digests is that of the token; an empty token matches none. Its run time depends on
// the number of digests, not on their content, so that it reveals nothing about them.
func Match(token string, digests []string) bool {
	digest := []byte(Digest(token))
	found := 0
	for _, d := range digests {
		found |= subtle.ConstantTimeCompare(digest, []byte(d))
	}
	return found == 1 && token != ""
}
