package settings

import (
	"net/netip"
	"time"
)

// Standin holds the settings of the stand-in endpoint and worker.
type Standin struct{ Common }

// LoadStandin reads the settings of the stand-in; a refusal is a *document.Problems.
func LoadStandin(file string) (s Standin, err error) {
	v, err := load(RoleStandin, file)
	return Standin{Common{v}}, err
}

// Listen returns the HTTP address of the endpoint and the worker.
func (s Standin) Listen() netip.AddrPort { return httpListenKey.of(s.v) }

// Cores returns the number of processor cores.
func (s Standin) Cores() int { return int(coresKey.of(s.v)) }

// Accelerators returns the number of accelerators.
func (s Standin) Accelerators() int { return int(acceleratorsKey.of(s.v)) }

// ReportLag returns the delay of reported usage.
func (s Standin) ReportLag() time.Duration { return reportLagKey.of(s.v) }

// Latency returns the time that a request takes.
func (s Standin) Latency() time.Duration { return latencyKey.of(s.v) }
