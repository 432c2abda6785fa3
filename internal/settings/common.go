package settings

import (
	"net/netip"
	"time"
)

// Common holds the settings of every process that serves.
type Common struct{ v values }

// Name returns the identity of the process.
func (c Common) Name() string { return nameKey.of(c.v) }

// Region returns the region of the host.
func (c Common) Region() string { return regionKey.of(c.v) }

// AvailabilityZone returns the availability zone of the host.
func (c Common) AvailabilityZone() string { return zoneKey.of(c.v) }

// OperatorsListen returns the HTTP address for metrics, health and operators.
func (c Common) OperatorsListen() netip.AddrPort { return metricsKey.of(c.v) }

// StopGrace returns the time for requests in flight after a stop signal.
func (c Common) StopGrace() time.Duration { return graceKey.of(c.v) }

// Keys returns the paths of the key files.
func (c Common) Keys() KeyFiles { return newKeyFiles(c.v) }

// Telemetry returns the settings of logs and traces.
func (c Common) Telemetry() Telemetry { return Telemetry(c) }

// Telemetry holds the settings of logs and traces.
type Telemetry struct{ v values }

// LogLevel returns the least level that is logged.
func (t Telemetry) LogLevel() string { return levelKey.of(t.v) }

// TraceFile returns the path of the file for spans, or "".
func (t Telemetry) TraceFile() string { return traceKey.of(t.v) }

// TraceOTLP returns the URL of the OTLP collector, or "".
func (t Telemetry) TraceOTLP() string { return otlpKey.of(t.v) }

// KeyFiles holds the paths of the PEM files of a process.
type KeyFiles struct {
	certificate string
	key         string
	authority   string
}

func newKeyFiles(v values) KeyFiles {
	return KeyFiles{certificate: certificateKey.of(v), key: privateKey.of(v), authority: authorityKey.of(v)}
}

// Certificate returns the path of the certificate.
func (k KeyFiles) Certificate() string { return k.certificate }

// Key returns the path of the private key.
func (k KeyFiles) Key() string { return k.key }

// Authority returns the path of the certificate authority.
func (k KeyFiles) Authority() string { return k.authority }
