package speed

import (
	"cmp"
	"math"
	"time"

	"rosemarywind.example/rosemarywind/internal/run"
)

const (
	// latencySamples is the number of tail latencies that count as one observation, since successive ones are alike.
	latencySamples = 5
	// presentShare and absentShare are the shares of an observation in which a neighbour must have been present, or may have
	// been, to count as present or as absent.
	presentShare = 0.8
	absentShare  = 0.2
	// maxDeviation bounds a single observation, so that a task that is long by itself does not make a pair.
	maxDeviation = 1.2
	// minObservations is the least number of observations with a neighbour, and of those without it.
	minObservations = 10 // with 6, three tasks that were long by themselves could make a pair
	// minNeighbourHosts is the least number of hosts on which a neighbour was observed: a single one may itself be slow.
	minNeighbourHosts = 2
	// pairErrors is the number of standard errors from which a slowdown does not come from chance; images make up to
	// thousands of pairs. A known pair is kept down to keptErrors.
	pairErrors = 6
	keptErrors = 3
	// minSlowdown is the least slowdown of a pair, on the logarithmic scale. A known pair is kept down to keptSlowdown.
	minSlowdown  = 0.15
	keptSlowdown = 0.1
	// maxImages bounds the images that are known, and maxNeighbours the neighbours of each.
	maxImages     = 256
	maxNeighbours = 32
	// neighbourInterval is the least time between two evaluations of the pairs.
	neighbourInterval = time.Second
	// runTimeout is the time after which a run that is not observed any more is dropped.
	runTimeout = time.Minute
)

// Interference learns how much images slow each other down on one worker. It compares the observations of an image beside a
// neighbour with those without it. An Interference is not safe for concurrent use.
type Interference struct {
	images      map[imageKey]*image
	runs        map[run.ID]*neighbourhood
	slowdowns   Slowdowns
	evaluatedAt time.Time
}

// imageKey identifies an image of a service.
type imageKey struct {
	service string
	name    string
}

// NewInterference returns an Interference without observations.
func NewInterference() *Interference {
	return &Interference{images: map[imageKey]*image{}, runs: map[run.ID]*neighbourhood{}}
}

// Neighbours holds the images beside a run on its worker.
type Neighbours struct {
	id      run.ID
	host    string
	key     imageKey
	alike   int
	present []string
}

// NewNeighbours returns the neighbours of a run of an image. alike is the number of the image's runs on the worker, which
// count as one observation together; present holds the images there, of which the first maxNeighbours count.
func NewNeighbours(id run.ID, host, service, image string, alike int, present []string) Neighbours {
	present = present[:min(len(present), maxNeighbours)]
	return Neighbours{id: id, host: host, key: imageKey{service, image}, alike: alike, present: present}
}

// neighbourhood accumulates the neighbours of a run until its next observation is complete.
type neighbourhood struct {
	host      string
	key       imageKey
	alike     int
	samples   int
	present   map[string]int // samples by neighbour
	deviation float64        // sum over the samples of a serving task
	seenAt    time.Time
}

// ObserveTask records the neighbours of a run that ends by itself.
func (i *Interference) ObserveTask(now time.Time, n Neighbours) { i.sample(now, n) }

// ObserveLatency records the neighbours of a serving task and the ratio of its tail latency to its target.
func (i *Interference) ObserveLatency(now time.Time, n Neighbours, ratio float64) {
	deviation := math.Log(ratio)
	if math.IsNaN(deviation) || math.IsInf(deviation, 0) {
		return
	}
	r := i.sample(now, n)
	r.deviation += deviation
	if r.samples < latencySamples {
		return
	}
	i.add(now, r, r.deviation/float64(r.samples))
	delete(i.runs, n.id)
}

// End takes in that a run has ended, with the deviation of its duration from what its step and worker make expect, on the
// logarithmic scale. Without a known deviation it is only dropped.
func (i *Interference) End(now time.Time, id run.ID, deviation float64, known bool) {
	r, seen := i.runs[id]
	if !seen {
		return
	}
	delete(i.runs, id)
	if known && !math.IsNaN(deviation) {
		i.add(now, r, max(-maxDeviation, min(deviation, maxDeviation)))
	}
}

// sample records the neighbours of a run.
func (i *Interference) sample(now time.Time, n Neighbours) *neighbourhood {
	r, known := i.runs[n.id]
	if !known || r.host != n.host || r.key != n.key {
		r = &neighbourhood{host: n.host, key: n.key, present: map[string]int{}}
		i.runs[n.id] = r
	}
	r.samples++
	r.seenAt, r.alike = now, max(r.alike, n.alike)
	for _, name := range n.present {
		if _, known := r.present[name]; (known || len(r.present) < maxNeighbours) && name != n.key.name {
			r.present[name]++
		}
	}
	return r
}

// add adds an observation to the averages of its image.
func (i *Interference) add(now time.Time, r *neighbourhood, deviation float64) {
	im, known := i.images[r.key]
	if !known {
		if len(i.images) >= maxImages {
			dropOldest(i.images, compareImageKeys, func(im *image) time.Time { return im.observedAt })
		}
		im = &image{neighbours: map[string]*neighbour{}}
		i.images[r.key] = im
	}
	im.decay(now)
	im.observedAt = now
	observation := newMoments(deviation, 1/float64(max(r.alike, 1)))
	im.all = im.all.plus(observation)
	for name, samples := range r.present {
		share := float64(samples) / float64(r.samples)
		if share <= absentShare {
			continue
		}
		n := im.neighbour(name)
		n.observedAt = now
		if share < presentShare {
			n.partly = n.partly.plus(observation)
			continue
		}
		n.with = n.with.plus(observation)
		n.addHost(r.host)
	}
}

// Slowdowns returns the pairs of images that are known to slow each other down at a time.
func (i *Interference) Slowdowns(now time.Time) Slowdowns {
	if now.Sub(i.evaluatedAt) < neighbourInterval {
		return i.slowdowns
	}
	i.evaluatedAt = now
	for id, r := range i.runs {
		if now.Sub(r.seenAt) > runTimeout {
			delete(i.runs, id)
		}
	}
	pairs := map[Pair]Slowdown{}
	for key, im := range i.images {
		im.decay(now)
		if im.all.weight < minWorkerWeight {
			delete(i.images, key)
			continue
		}
		for name, n := range im.neighbours {
			pair := Pair{key.service, key.name, name}
			_, known := i.slowdowns.pairs[pair]
			if s := im.slowdown(n); s.sure(known) {
				pairs[pair] = s
			}
		}
	}
	i.slowdowns = newSlowdowns(pairs)
	return i.slowdowns
}

// Images returns the number of images about which observations are kept.
func (i *Interference) Images() int { return len(i.images) }

// Neighbours returns the number of neighbours of all images about which observations are kept.
func (i *Interference) Neighbours() (count int) {
	for _, im := range i.images {
		count += len(im.neighbours)
	}
	return count
}

func compareImageKeys(a, b imageKey) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.name, b.name))
}

// dropOldest removes the entry that was observed least recently, the first one in the order of compare among several.
func dropOldest[K comparable, V any](entries map[K]V, compare func(a, b K) int, observedAt func(V) time.Time) {
	var oldest K
	var at time.Time
	for key, v := range entries {
		t := observedAt(v)
		if at.IsZero() || t.Before(at) || t.Equal(at) && compare(key, oldest) < 0 {
			oldest, at = key, t
		}
	}
	delete(entries, oldest)
}
