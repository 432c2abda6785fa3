package settings

import (
	"net/netip"

	"rosemarywind.example/rosemarywind/internal/document"
)

// checkConsistency reports values that are each in range but contradict each other.
func checkConsistency(d *document.Document, role Role, v values) {
	switch role {
	case RoleEntry:
		checkEntry(d, v)
	case RoleAgent:
		checkMemory(d, v, bodyBytesKey.get(v))
		if quicListenKey.get(v).Addr().IsUnspecified() && !advertiseKey.get(v).IsValid() {
			d.Reportf(advertiseKey.name, "required when listen is an unspecified address; allowed: %s", document.Allowed(advertiseKey.kind))
		}
	case RoleControl:
		checkMemory(d, v, controlBodyBytes)
		if _, ok := membersKey.get(v)[nameKey.get(v)]; !ok {
			d.Reportf(membersKey.name, "lacks this host's own name %q", nameKey.get(v))
		}
	case RoleStandin:
		checkLoopback(d, v, httpListenKey, operatorsListenKey)
	case RoleOperator:
	}
}

func checkEntry(d *document.Document, v values) {
	if deadlineDefaultKey.get(v) > deadlineMaxKey.get(v) {
		d.Reportf(deadlineDefaultKey.name, "must be at most deadline.max (%s)", document.FormatDuration(deadlineMaxKey.get(v)))
	}
	if bufferedBytesKey.get(v) < bodyBytesKey.get(v) {
		d.Reportf(bufferedBytesKey.name, "must be at least limits.body_bytes (%d)", bodyBytesKey.get(v))
	}
	checkMemory(d, v, bodyBytesKey.get(v))
}

const (
	// controlBodyBytes is the largest body that a control host takes.
	controlBodyBytes = 4 * mebibyte
	// bodiesPerMemory is how many times the largest body the memory of a process has to hold, so that one is served while
	// other clients hold what they may.
	bodiesPerMemory = 16
	// minimumMemoryBytes is what a process needs without clients, and as much again.
	minimumMemoryBytes = 64 * mebibyte
)

// checkMemory reports a memory that leaves no room for the largest body.
func checkMemory(d *document.Document, v values, body int64) {
	n, least := memoryBytesKey.get(v), max(bodiesPerMemory*body, minimumMemoryBytes)
	if n != 0 && n < least {
		d.Reportf(memoryBytesKey.name, "must be 0 or at least %d, that is %d times the largest body and %d",
			least, bodiesPerMemory, minimumMemoryBytes)
	}
}

// checkLoopback reports addresses that other hosts can reach, for a role that has no key files and thus no TLS.
func checkLoopback(d *document.Document, v values, addresses ...key[netip.AddrPort]) {
	for _, k := range addresses {
		if a := k.get(v); a.IsValid() && !a.Addr().IsLoopback() {
			d.Reportf(k.name, "%s is not a loopback address, and this role has no keys; allowed: a loopback address", a)
		}
	}
}
