package settings

import (
	"net/netip"
	"time"
)

// Common holds the settings that all roles but the operator role have.
type Common struct{ v values }

// Name returns the name of the process, which is unique within its role.
func (c Common) Name() string { return nameKey.get(c.v) }

// Region returns the region of the host, or "" if not set.
func (c Common) Region() string { return regionKey.get(c.v) }

// AvailabilityZone returns the availability zone of the host.
func (c Common) AvailabilityZone() string { return zoneKey.get(c.v) }

// OperatorsListen returns the HTTP address for metrics and health checks, and on control hosts for operators.
func (c Common) OperatorsListen() netip.AddrPort { return operatorsListenKey.get(c.v) }

// StopGrace returns the time that requests in flight have to finish after SIGTERM.
func (c Common) StopGrace() time.Duration { return stopGraceKey.get(c.v) }

// Keys returns the paths of the key files, which are empty for the standin role.
func (c Common) Keys() KeyFiles { return newKeyFiles(c.v) }

// Telemetry returns the part of the settings that configures logging and tracing.
func (c Common) Telemetry() Telemetry { return Telemetry(c) }

// Telemetry holds the settings of logging and tracing.
type Telemetry struct{ v values }

// LogLevel returns the lowest level that is logged: trace, debug, info, warn or error.
func (t Telemetry) LogLevel() string { return logLevelKey.get(t.v) }

// TraceFile returns the path of the file that receives spans as JSON lines, or "" for none.
func (t Telemetry) TraceFile() string { return traceFileKey.get(t.v) }

// TraceOTLP returns the URL of the OTLP/HTTP collector of spans, or "" for none.
func (t Telemetry) TraceOTLP() string { return traceOTLPKey.get(t.v) }

// KeyFiles holds the paths of the PEM files of a process.
type KeyFiles struct {
	certificate string
	key         string
	authority   string
}

func newKeyFiles(v values) KeyFiles {
	return KeyFiles{certificate: certificateKey.get(v), key: privateKey.get(v), authority: authorityKey.get(v)}
}

// Certificate returns the path of the certificate, whose identity is the role and the name of the process.
func (k KeyFiles) Certificate() string { return k.certificate }

// Key returns the path of the private key.
func (k KeyFiles) Key() string { return k.key }

// Authority returns the path of the certificate of the authority.
func (k KeyFiles) Authority() string { return k.authority }
