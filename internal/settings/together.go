package settings

import (
	"net/netip"

	"rosemarywind.example/rosemarywind/internal/document"
)

// checkTogether refuses values that are allowed alone but not together.
func checkTogether(d *document.Document, role Role, v values) {
	switch role {
	case RoleEntry:
		checkKeys(d, v, httpListenKey, metricsKey)
		checkEntry(d, v)
	case RoleAgent:
		checkKeys(d, v, quicListenKey, metricsKey)
		if quicListenKey.of(v).Addr().IsUnspecified() && !advertiseKey.of(v).IsValid() {
			d.Refuse(advertiseKey.name, "required when listen is an unspecified address; allowed: %s", document.Allowed(advertiseKey.kind))
		}
	case RoleControl:
		checkKeys(d, v, controlListenKey, metricsKey)
		if _, ok := membersKey.of(v)[nameKey.of(v)]; !ok {
			d.Refuse(membersKey.name, "lacks this host's own name %q", nameKey.of(v))
		}
	case RoleStandin:
		checkKeys(d, v, httpListenKey, metricsKey)
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

// checkKeys refuses a part of the key files, and none of them on an address that other hosts reach.
func checkKeys(d *document.Document, v values, listens ...key[netip.AddrPort]) {
	k := newKeyFiles(v)
	if k.Present() {
		return
	}
	if k.certificate != "" || k.key != "" || k.authority != "" {
		for _, f := range []key[string]{certificateKey, privateKey, authorityKey} {
			if f.of(v) == "" {
				d.Refuse(f.name, "required when another of keys.certificate, keys.key, keys.authority is set")
			}
		}
		return
	}
	for _, l := range listens {
		if a := l.of(v); a.IsValid() && !a.Addr().IsLoopback() {
			d.Refuse(l.name, "%s is not a loopback address and no keys are set; allowed: a loopback address, or keys.certificate, keys.key and keys.authority", a)
		}
	}
}
