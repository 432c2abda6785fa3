// Package keys issues certificates, configures mutual TLS between the processes of a
// system, and creates and verifies bearer tokens. It does not decide which role may call
// what: callers check the identity that PeerIdentity returns. The Authority is for tests
// and trial installations; another CA can issue the certificates if it puts the identity
// URI into them.
package keys
