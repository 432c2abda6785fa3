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
		if quicListenKey.get(v).Addr().IsUnspecified() && !advertiseKey.get(v).IsValid() {
			d.Reportf(advertiseKey.name, "required when listen is an unspecified address; allowed: %s", document.Allowed(advertiseKey.kind))
		}
	case RoleControl:
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
}

// checkLoopback reports addresses that other hosts can reach, for a role that has no key files and thus no TLS.
func checkLoopback(d *document.Document, v values, addresses ...key[netip.AddrPort]) {
	for _, k := range addresses {
		if a := k.get(v); a.IsValid() && !a.Addr().IsLoopback() {
			d.Reportf(k.name, "%s is not a loopback address, and this role has no keys; allowed: a loopback address", a)
		}
	}
}
