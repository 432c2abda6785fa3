package intake

import "time"

// Pace bounds how slowly a body may arrive; it is immutable.
type Pace struct {
	interval time.Duration
	minimum  int64 // bytes in each interval
	total    time.Duration
}

// NewPace returns a pace at which a body needs the given number of bytes or its end in each interval, and its end
// within total.
func NewPace(minimum int64, interval, total time.Duration) Pace {
	return Pace{interval: interval, minimum: minimum, total: total}
}

// paceInterval is the time in which a body has to arrive at its least rate.
const paceInterval = 5 * time.Second

// NewPaceOf returns a pace of the given bytes per second, counted over paceInterval, for bodies that arrive within total.
func NewPaceOf(rate int, total time.Duration) Pace {
	return NewPace(int64(rate)*int64(paceInterval/time.Second), paceInterval, total)
}

// DefaultPace returns the pace for clients whose links may lose packets for some seconds.
func DefaultPace() Pace { return NewPaceOf(1<<10, 30*time.Second) }

// Progress is how far a body has arrived.
type Progress struct {
	pace       Pace
	begunAt    time.Time
	intervalAt time.Time
	bytes      int64 // in the interval
}

// Begin returns the progress of a body of which nothing has arrived.
func (p Pace) Begin(now time.Time) Progress { return Progress{pace: p, begunAt: now, intervalAt: now} }

// endingBy returns a copy whose body has to be whole by a time, unless that is zero or later than the pace's.
func (p Progress) endingBy(until time.Time) Progress {
	if total := until.Sub(p.begunAt); !until.IsZero() && total < p.pace.total {
		p.pace.total = total
	}
	return p
}

// Advance records n bytes that arrived.
func (p *Progress) Advance(now time.Time, n int) {
	if p.bytes += int64(n); p.bytes >= p.pace.minimum {
		p.intervalAt, p.bytes = now, 0
	}
}

// Deadline returns the time by which more of the body has to have arrived.
func (p *Progress) Deadline() time.Time {
	end, next := p.begunAt.Add(p.pace.total), p.intervalAt.Add(p.pace.interval)
	if next.Before(end) {
		return next
	}
	return end
}

// TooSlow reports whether the deadline has passed.
func (p *Progress) TooSlow(now time.Time) bool { return !now.Before(p.Deadline()) }
