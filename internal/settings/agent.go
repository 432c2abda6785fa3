package settings

import (
	"net/netip"
	"time"
)

// Agent holds the settings of the agent role.
type Agent struct{ Common }

// LoadAgent reads the settings of the agent role; an invalid file gives a *document.Problems error.
func LoadAgent(file string) (a Agent, err error) {
	v, err := load(RoleAgent, file)
	return Agent{Common{v}}, err
}

// Rack returns the name of the rack that the worker is in.
func (a Agent) Rack() string { return rackKey.get(a.v) }

// Cores returns the number of processor cores of the worker, 0 if not set.
func (a Agent) Cores() int { return int(coresKey.get(a.v)) }

// MemoryMB returns the memory of the worker in megabytes, 0 if not set.
func (a Agent) MemoryMB() int { return int(memoryKey.get(a.v)) }

// Accelerators returns the number of accelerators of the worker, 0 if not set.
func (a Agent) Accelerators() int { return int(acceleratorsKey.get(a.v)) }

// Slots returns the number of requests that the endpoint processes concurrently.
func (a Agent) Slots() int { return int(slotsKey.get(a.v)) }

// Connections returns the number of concurrent connections that the endpoint accepts.
func (a Agent) Connections() int { return int(connectionsKey.get(a.v)) }

// Listen returns the QUIC address to listen on.
func (a Agent) Listen() netip.AddrPort { return quicListenKey.get(a.v) }

// Advertise returns the address at which other hosts reach the agent, by default that of Listen; port 0 stands for the
// bound port.
func (a Agent) Advertise() netip.AddrPort {
	if advertise := advertiseKey.get(a.v); advertise.IsValid() {
		return advertise
	}
	return a.Listen()
}

// EndpointURL returns the base URL of the endpoint, http://IP:port.
func (a Agent) EndpointURL() string { return endpointURLKey.get(a.v) }

// WorkerURL returns the base URL of the worker, http://IP:port.
func (a Agent) WorkerURL() string { return workerURLKey.get(a.v) }

// ProbeInterval returns the time between health probes of the endpoint.
func (a Agent) ProbeInterval() time.Duration { return probeIntervalKey.get(a.v) }

// ProbeTimeout returns the time after which an unanswered health probe counts as failed.
func (a Agent) ProbeTimeout() time.Duration { return probeTimeoutKey.get(a.v) }

// ControlAddresses returns the QUIC addresses of the control hosts.
func (a Agent) ControlAddresses() []netip.AddrPort { return controlAddressesKey.get(a.v) }

// BodyBytes returns the maximum size of a request or response body in bytes.
func (a Agent) BodyBytes() int64 { return bodyBytesKey.get(a.v) }

// MemoryBytes returns the memory that the process may use in bytes, 0 for that of its host or control group.
func (a Agent) MemoryBytes() int64 { return memoryBytesKey.get(a.v) }
