package settings

import (
	"net/netip"

	"rosemarywind.example/rosemarywind/internal/document"
)

// checkTogether refuses values that are allowed alone but not together.
func checkTogether(d *document.Document, role Role, v values) {
	switch role {
	case RoleEntry:
		checkEntry(d, v)
	case RoleAgent:
		if quicListenKey.of(v).Addr().IsUnspecified() && !advertiseKey.of(v).IsValid() {
			d.Refuse(advertiseKey.name, "required when listen is an unspecified address; allowed: %s", document.Allowed(advertiseKey.kind))
		}
	case RoleControl:
		if _, ok := membersKey.of(v)[nameKey.of(v)]; !ok {
			d.Refuse(membersKey.name, "lacks this host's own name %q", nameKey.of(v))
		}
	case RoleStandin:
		checkLoopback(d, v, httpListenKey, metricsKey)
	case RoleOperator:
	}
}

func checkEntry(d *document.Document, v values) {
	if deadlineDefaultKey.of(v) > deadlineMaxKey.of(v) {
		d.Refuse(deadlineDefaultKey.name, "must be at most deadline.max (%s)", document.FormatDuration(deadlineMaxKey.of(v)))
	}
	if bufferedBytesKey.of(v) < bodyBytesKey.of(v) {
		d.Refuse(bufferedBytesKey.name, "must be at least limits.body_bytes (%d)", bodyBytesKey.of(v))
	}
}

// checkLoopback refuses addresses that other hosts reach, for a role that has no key files.
func checkLoopback(d *document.Document, v values, listens ...key[netip.AddrPort]) {
	for _, l := range listens {
		if a := l.of(v); a.IsValid() && !a.Addr().IsLoopback() {
			d.Refuse(l.name, "%s is not a loopback address, and this role has no keys; allowed: a loopback address", a)
		}
	}
}
