package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// image holds the observations of an image.
type image struct {
	all        moments
	neighbours map[string]*neighbour
	observedAt time.Time
	decayedAt  time.Time // up to which the weights have decayed
}

// neighbour holds the observations of an image beside another one.
type neighbour struct {
	with       moments
	partly     moments  // of observations in which it was present for a part
	hosts      []string // up to minNeighbourHosts different ones with observations
	observedAt time.Time
}

// addHost records that the neighbour was observed on a host.
func (n *neighbour) addHost(host string) {
	if len(n.hosts) < minNeighbourHosts && !slices.Contains(n.hosts, host) {
		n.hosts = append(n.hosts, host)
	}
}

// neighbour returns what is known of a neighbour; a new one takes the place of the one observed least recently.
func (im *image) neighbour(name string) *neighbour {
	n, known := im.neighbours[name]
	if known {
		return n
	}
	if len(im.neighbours) >= maxNeighbours {
		dropOldest(im.neighbours, cmp.Compare, func(n *neighbour) time.Time { return n.observedAt })
	}
	n = &neighbour{}
	im.neighbours[name] = n
	return n
}

// decay reduces the weight of all observations of an image by the time since the last call.
func (im *image) decay(now time.Time) {
	share := 1.0
	if !im.decayedAt.IsZero() {
		share = min(1, math.Exp2(-now.Sub(im.decayedAt).Seconds()/halfLife.Seconds()))
	}
	im.decayedAt = now
	im.all = im.all.scaled(share)
	for name, n := range im.neighbours {
		n.with, n.partly = n.with.scaled(share), n.partly.scaled(share)
		if n.with.weight+n.partly.weight < minWorkerWeight {
			delete(im.neighbours, name)
		}
	}
}

// slowdown compares the observations with a neighbour to those without it.
func (im *image) slowdown(n *neighbour) Slowdown {
	without := im.all.minus(n.with).minus(n.partly)
	s := Slowdown{with: n.with.weight, without: without.weight, hosts: len(n.hosts), observedAt: n.observedAt}
	if n.with.weight < minWeight || without.weight < minWeight {
		return s
	}
	prior := initialWeight * initialDeviation * initialDeviation
	variance := (prior + n.with.squaredDeviations() + without.squaredDeviations()) /
		(initialWeight + n.with.weight + without.weight)
	variance = max(variance, minDeviation*minDeviation)
	s.logarithm = n.with.mean() - without.mean()
	s.standardError = math.Sqrt(variance * (1/n.with.weight + 1/without.weight))
	return s
}

// moments is a weighted mean with the squares that its variance takes.
type moments struct {
	average
	squares float64
}

func newMoments(value, weight float64) moments {
	return moments{average{value * weight, weight}, value * value * weight}
}

func (m moments) plus(o moments) moments {
	return moments{m.average.plus(o.average), m.squares + o.squares}
}

func (m moments) minus(o moments) moments {
	return moments{m.average.minus(o.average), max(m.squares-o.squares, 0)}
}

func (m moments) scaled(share float64) moments {
	return moments{m.average.scaled(share), m.squares * share}
}

// squaredDeviations returns the sum of the squared deviations from the mean.
func (m moments) squaredDeviations() float64 { return max(m.squares-m.sum*m.mean(), 0) }
