package settings

import (
	"net/netip"
	"time"
)

// Standin holds the settings of the stand-in endpoint and worker.
type Standin struct{ Common }

// LoadStandin reads the settings of the stand-in; an invalid file gives a *document.Problems error.
func LoadStandin(file string) (s Standin, err error) {
	v, err := load(RoleStandin, file)
	return Standin{Common{v}}, err
}

// Listen returns the HTTP address on which both the endpoint and the worker are served.
func (s Standin) Listen() netip.AddrPort { return httpListenKey.get(s.v) }

// Cores returns the number of processor cores of the worker, 0 if not set.
func (s Standin) Cores() int { return int(coresKey.get(s.v)) }

// Accelerators returns the number of accelerators of the worker, 0 if not set.
func (s Standin) Accelerators() int { return int(acceleratorsKey.get(s.v)) }

// ReportLag returns the delay with which the worker reports its usage.
func (s Standin) ReportLag() time.Duration { return reportLagKey.get(s.v) }

// Latency returns the time that the endpoint takes to answer a request.
func (s Standin) Latency() time.Duration { return latencyKey.get(s.v) }
