// Package lease does the arithmetic of leases: the holder counts from the
// moment it asked, the grantor from the moment it answered, each on its own clock.
package lease
