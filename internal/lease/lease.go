package lease

import "time"

// driftMarginPercent covers the difference in rate of two clocks and a late timer.
const driftMarginPercent = 5

// Held is a lease as its holder sees it.
type Held struct {
	askedAt time.Time
	length  time.Duration
}

// NewHeld returns a lease that the holder asked for at askedAt, by its own monotonic clock.
func NewHeld(askedAt time.Time, length time.Duration) Held {
	return Held{askedAt: askedAt, length: length}
}

// Valid reports whether the holder may still act.
func (h Held) Valid(now time.Time) bool { return now.Before(h.ExpiresAt()) }

// ExpiresAt returns the moment from which the holder must not act.
func (h Held) ExpiresAt() time.Time { return h.askedAt.Add(h.length) }

// Granted is a lease as its grantor sees it.
type Granted struct {
	answeredAt time.Time
	length     time.Duration
}

// NewGranted returns a lease that the grantor answered at answeredAt, by its own monotonic clock.
func NewGranted(answeredAt time.Time, length time.Duration) Granted {
	return Granted{answeredAt: answeredAt, length: length}
}

// Expired reports whether the holder can no longer act, so that the resource may be given away.
func (g Granted) Expired(now time.Time) bool { return !now.Before(g.ExpiresAt()) }

// ExpiresAt returns the moment from which the resource may be given away.
func (g Granted) ExpiresAt() time.Time {
	return g.answeredAt.Add(g.length + g.length*driftMarginPercent/100)
}

// Later returns the one of two grants that ends later.
func (g Granted) Later(o Granted) Granted {
	if o.ExpiresAt().After(g.ExpiresAt()) {
		return o
	}
	return g
}
