package settings

import (
	"net/netip"
	"time"
)

// Agent holds the settings of the agent role.
type Agent struct{ Common }

// LoadAgent reads the settings of the agent role; a refusal is a *document.Problems.
func LoadAgent(file string) (a Agent, err error) {
	v, err := load(RoleAgent, file)
	return Agent{Common{v}}, err
}

// Rack returns the rack of the worker.
func (a Agent) Rack() string { return rackKey.of(a.v) }

// Cores returns the number of processor cores of the worker.
func (a Agent) Cores() int { return int(coresKey.of(a.v)) }

// MemoryMB returns the memory of the worker in megabytes.
func (a Agent) MemoryMB() int { return int(memoryKey.of(a.v)) }

// Accelerators returns the number of accelerators of the worker.
func (a Agent) Accelerators() int { return int(acceleratorsKey.of(a.v)) }

// Slots returns the number of requests that the endpoint runs at once.
func (a Agent) Slots() int { return int(slotsKey.of(a.v)) }

// Connections returns the number of connections that the endpoint accepts.
func (a Agent) Connections() int { return int(connectionsKey.of(a.v)) }

// Listen returns the QUIC address to listen on.
func (a Agent) Listen() netip.AddrPort { return quicListenKey.of(a.v) }

// Advertise returns the address that others reach; its port is 0 when the bound port is to be used.
func (a Agent) Advertise() netip.AddrPort {
	if advertise := advertiseKey.of(a.v); advertise.IsValid() {
		return advertise
	}
	return a.Listen()
}

// EndpointURL returns the HTTP address of the endpoint.
func (a Agent) EndpointURL() string { return endpointURLKey.of(a.v) }

// WorkerURL returns the HTTP address of the worker.
func (a Agent) WorkerURL() string { return workerURLKey.of(a.v) }

// ProbeInterval returns the time between probes of the endpoint.
func (a Agent) ProbeInterval() time.Duration { return probeIntervalKey.of(a.v) }

// ProbeTimeout returns the time after which a probe has failed.
func (a Agent) ProbeTimeout() time.Duration { return probeTimeoutKey.of(a.v) }

// ControlAddresses returns the QUIC addresses of the control hosts.
func (a Agent) ControlAddresses() []netip.AddrPort { return controlAddressesKey.of(a.v) }

// BodyBytes returns the size of the largest body in bytes.
func (a Agent) BodyBytes() int64 { return bodyBytesKey.of(a.v) }
