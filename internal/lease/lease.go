package lease

import "time"

// driftMarginPercent covers the difference in rate between two clocks and the delay of a timer, in percent of the length.
const driftMarginPercent = 5

// Held is a lease as its holder counts it, from the request on.
type Held struct {
	requestedAt time.Time
	length      time.Duration
}

// NewHeld returns a lease that the holder requested at requestedAt, on its own monotonic clock.
func NewHeld(requestedAt time.Time, length time.Duration) Held {
	return Held{requestedAt: requestedAt, length: length}
}

// Valid reports whether the holder may still act on the lease.
func (h Held) Valid(now time.Time) bool { return now.Before(h.ExpiresAt()) }

// ExpiresAt returns the moment from which the holder must not act.
func (h Held) ExpiresAt() time.Time { return h.requestedAt.Add(h.length) }

// Granted is a lease as its grantor counts it, from the answer on and with a margin for clock drift.
type Granted struct {
	answeredAt time.Time
	length     time.Duration
}

// NewGranted returns a lease that the grantor granted at answeredAt, on its own monotonic clock.
func NewGranted(answeredAt time.Time, length time.Duration) Granted {
	return Granted{answeredAt: answeredAt, length: length}
}

// Expired reports whether the holder can no longer act, so that the resource may be granted to another.
func (g Granted) Expired(now time.Time) bool { return !now.Before(g.ExpiresAt()) }

// ExpiresAt returns the moment from which the resource may be granted to another.
func (g Granted) ExpiresAt() time.Time {
	return g.answeredAt.Add(g.length + g.length*driftMarginPercent/100)
}

// Later returns the one of two grants that expires later, g if both expire at the same time.
func (g Granted) Later(o Granted) Granted {
	if o.ExpiresAt().After(g.ExpiresAt()) {
		return o
	}
	return g
}
