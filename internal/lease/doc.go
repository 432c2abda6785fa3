// Package lease computes when leases expire, and orders their holders by fencing tokens.
//
// The holder counts the length of a lease from the moment at which it sent the request, the grantor from the moment at
// which it answered plus a margin, each on its own monotonic clock. So the holder stops to act before the grantor gives
// the resource to another. Granting, renewing and transporting leases is left to the callers.
package lease
