package settings

import (
	"net/netip"
	"time"
)

// Entry holds the settings of the entry role.
type Entry struct{ Common }

// LoadEntry reads the settings of the entry role; an invalid file gives a *document.Problems error.
func LoadEntry(file string) (e Entry, err error) {
	v, err := load(RoleEntry, file)
	return Entry{Common{v}}, err
}

// Listen returns the HTTP address on which callers are served.
func (e Entry) Listen() netip.AddrPort { return httpListenKey.get(e.v) }

// ControlAddresses returns the QUIC addresses of the control hosts.
func (e Entry) ControlAddresses() []netip.AddrPort { return controlAddressesKey.get(e.v) }

// BodyBytes returns the maximum size of a request or response body in bytes.
func (e Entry) BodyBytes() int64 { return bodyBytesKey.get(e.v) }

// HeaderBytes returns the maximum size of a request header in bytes.
func (e Entry) HeaderBytes() int64 { return headerBytesKey.get(e.v) }

// HeaderTimeout returns the time within which a caller must send the header of a request.
func (e Entry) HeaderTimeout() time.Duration { return headerTimeoutKey.get(e.v) }

// BodyTimeout returns the time within which a caller must send the body of a request.
func (e Entry) BodyTimeout() time.Duration { return bodyTimeoutKey.get(e.v) }

// QueueWait returns the maximum time that a request waits for a slot before it is refused.
func (e Entry) QueueWait() time.Duration { return queueWaitKey.get(e.v) }

// BufferedBytes returns the maximum total size of the buffered request bodies of one address in bytes, at least
// BodyBytes.
func (e Entry) BufferedBytes() int64 { return bufferedBytesKey.get(e.v) }

// BodyRate returns the least rate at which a body has to arrive, in bytes per second.
func (e Entry) BodyRate() int64 { return bodyRateKey.get(e.v) }

// Connections returns the number of callers' connections that are open at once.
func (e Entry) Connections() int { return int(clientConnectionsKey.get(e.v)) }

// DeadlineDefault returns the deadline of a request that states none.
func (e Entry) DeadlineDefault() time.Duration { return deadlineDefaultKey.get(e.v) }

// DeadlineMax returns the maximum deadline that a caller may state.
func (e Entry) DeadlineMax() time.Duration { return deadlineMaxKey.get(e.v) }

// RetrySharePercent returns the retry budget in percent of first attempts; retries after a full endpoint have a
// separate budget of 50 percent.
func (e Entry) RetrySharePercent() int { return int(retryShareKey.get(e.v)) }

// RetryAttempts returns the maximum number of attempts of a request, the first included.
func (e Entry) RetryAttempts() int { return int(retryAttemptsKey.get(e.v)) }

// RetryBasePause returns the pause before the first retry, which doubles for each further one.
func (e Entry) RetryBasePause() time.Duration { return retryPauseKey.get(e.v) }

// QuarantineFailures returns the number of consecutive failures after which an endpoint is quarantined, 0 for never.
func (e Entry) QuarantineFailures() int { return int(quarantineFailuresKey.get(e.v)) }

// QuarantinePause returns the duration of an endpoint's first quarantine, which doubles with each further failure up to
// 8 times the first.
func (e Entry) QuarantinePause() time.Duration { return quarantinePauseKey.get(e.v) }

// MemoryBytes returns the memory that the process may use in bytes, 0 for that of its host or control group.
func (e Entry) MemoryBytes() int64 { return memoryBytesKey.get(e.v) }
