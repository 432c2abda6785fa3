// Package rosemarywind runs a whole system in one process: control hosts, entry
// hosts, and agents beside stand-ins of the platform's workers, all on loopback.
package rosemarywind
