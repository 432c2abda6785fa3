package speed

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Pair is an image of a service and a neighbour that slows it down.
type Pair struct {
	service   string
	image     string
	neighbour string
}

// String returns the pair as text for the log.
func (p Pair) String() string {
	return fmt.Sprintf("image %q beside image %q in service %q", p.image, p.neighbour, p.service)
}

func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.image, b.image), cmp.Compare(a.neighbour, b.neighbour))
}

// Slowdown is the estimated slowdown of an image beside another one. It is immutable.
type Slowdown struct {
	logarithm     float64
	standardError float64
	with          float64 // observations
	without       float64
	hosts         int
	observedAt    time.Time
}

// Ratio returns how many times as long a task takes beside the neighbour, or how many times as high its tail latency is.
func (s Slowdown) Ratio() float64 { return math.Exp(s.logarithm) }

// Uncertainty returns the standard error of the natural logarithm of the ratio.
func (s Slowdown) Uncertainty() float64 { return s.standardError }

// Age returns the time since the image was last observed beside the neighbour.
func (s Slowdown) Age(now time.Time) time.Duration { return now.Sub(s.observedAt) }

// sure reports whether the slowdown does not come from chance. A known pair needs less evidence, so that it does not come
// and go.
func (s Slowdown) sure(known bool) bool {
	if known {
		return s.logarithm >= keptSlowdown && s.logarithm >= keptErrors*s.standardError && s.standardError > 0
	}
	return s.with >= minObservations && s.without >= minObservations && s.hosts >= minNeighbourHosts &&
		s.logarithm >= minSlowdown && s.logarithm >= pairErrors*s.standardError
}

// Slowdowns holds the pairs of images that surely slow each other down; it is immutable.
type Slowdowns struct {
	pairs  map[Pair]Slowdown
	images map[imageKey]bool // those of any pair
}

// NewSlowdowns returns the slowdown of an image beside each of the given neighbours, as a ratio.
func NewSlowdowns(service, image string, ratios map[string]float64) Slowdowns {
	pairs := map[Pair]Slowdown{}
	for neighbour, ratio := range ratios {
		pairs[Pair{service, image, neighbour}] = Slowdown{logarithm: math.Log(ratio)}
	}
	return newSlowdowns(pairs)
}

func newSlowdowns(pairs map[Pair]Slowdown) Slowdowns {
	s := Slowdowns{pairs: pairs, images: map[imageKey]bool{}}
	for p := range pairs {
		s.images[imageKey{p.service, p.image}] = true
		s.images[imageKey{p.service, p.neighbour}] = true
	}
	return s
}

// Of returns the slowdown of an image beside a neighbour; ok is false if none is known.
func (s Slowdowns) Of(service, image, neighbour string) (d Slowdown, ok bool) {
	d, ok = s.pairs[Pair{service, image, neighbour}]
	return d, ok
}

// Concern reports whether an image slows any other down or is slowed down by any.
func (s Slowdowns) Concern(service, image string) bool { return s.images[imageKey{service, image}] }

// Between reports whether either of two images slows the other down.
func (s Slowdowns) Between(service, a, b string) bool {
	_, slowed := s.pairs[Pair{service, a, b}]
	_, slows := s.pairs[Pair{service, b, a}]
	return slowed || slows
}

// Count returns the number of pairs.
func (s Slowdowns) Count() int { return len(s.pairs) }

// Missing returns the pairs that s has and other has not, sorted.
func (s Slowdowns) Missing(other Slowdowns) (pairs []Pair) {
	for _, p := range slices.SortedFunc(maps.Keys(s.pairs), comparePairs) {
		if _, known := other.pairs[p]; !known {
			pairs = append(pairs, p)
		}
	}
	return pairs
}
