package settings

import (
	"net/netip"
	"time"
)

// Entry holds the settings of the entry role.
type Entry struct{ Common }

// LoadEntry reads the settings of the entry role; a refusal is a *document.Problems.
func LoadEntry(file string) (e Entry, err error) {
	v, err := load(RoleEntry, file)
	return Entry{Common{v}}, err
}

// Listen returns the HTTP address for callers.
func (e Entry) Listen() netip.AddrPort { return httpListenKey.of(e.v) }

// ControlAddresses returns the QUIC addresses of the control hosts.
func (e Entry) ControlAddresses() []netip.AddrPort { return controlAddressesKey.of(e.v) }

// BodyBytes returns the size of the largest body in bytes.
func (e Entry) BodyBytes() int64 { return bodyBytesKey.of(e.v) }

// HeaderBytes returns the size of the largest header in bytes.
func (e Entry) HeaderBytes() int64 { return headerBytesKey.of(e.v) }

// HeaderTimeout returns the time for a caller to send its header.
func (e Entry) HeaderTimeout() time.Duration { return headerTimeoutKey.of(e.v) }

// BodyTimeout returns the time for a caller to send its body.
func (e Entry) BodyTimeout() time.Duration { return bodyTimeoutKey.of(e.v) }

// QueueWait returns the longest wait for a slot.
func (e Entry) QueueWait() time.Duration { return queueWaitKey.of(e.v) }

// BufferedBytes returns the total of buffered bodies in bytes.
func (e Entry) BufferedBytes() int64 { return bufferedBytesKey.of(e.v) }

// DeadlineDefault returns the deadline of a request that states none.
func (e Entry) DeadlineDefault() time.Duration { return deadlineDefaultKey.of(e.v) }

// DeadlineMax returns the longest deadline that a caller may state.
func (e Entry) DeadlineMax() time.Duration { return deadlineMaxKey.of(e.v) }

// RetrySharePercent returns the retries allowed in percent of first attempts.
func (e Entry) RetrySharePercent() int { return int(retryShareKey.of(e.v)) }

// RetryAttempts returns the number of attempts of a request, the first included.
func (e Entry) RetryAttempts() int { return int(retryAttemptsKey.of(e.v)) }

// RetryBasePause returns the pause before the first retry.
func (e Entry) RetryBasePause() time.Duration { return retryPauseKey.of(e.v) }

// AsideFailures returns the failures in a row after which an endpoint is set aside, 0 for never.
func (e Entry) AsideFailures() int { return int(asideFailuresKey.of(e.v)) }

// AsidePause returns the first pause of an endpoint that is set aside.
func (e Entry) AsidePause() time.Duration { return asidePauseKey.of(e.v) }
