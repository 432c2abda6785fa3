package telemetry

import (
	"math"
	"math/bits"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
)

// A bucket spans 1/16 of a power of two, so a percentile is at most 6.25% too low.
const (
	stepBits    = 4
	steps       = 1 << stepBits
	bucketCount = (64 - stepBits + 1) * steps
)

// histogram counts values in buckets with atomics, because the samples of the
// metrics library take a lock at each update.
type histogram struct {
	count   atomic.Int64
	sum     atomic.Int64
	squares atomic.Uint64
	least   atomic.Int64
	most    atomic.Int64
	buckets [bucketCount]atomic.Int64
}

// NewHistogram returns a histogram of values from 0 on whose updates take no lock.
func NewHistogram() gometrics.Histogram {
	h := &histogram{}
	h.Clear()
	return h
}

// Clear removes all values; values that are added meanwhile may stay in part.
func (h *histogram) Clear() {
	h.count.Store(0)
	h.sum.Store(0)
	h.squares.Store(0)
	h.least.Store(math.MaxInt64)
	h.most.Store(0)
	for i := range h.buckets {
		h.buckets[i].Store(0)
	}
}

// Update adds a value; a negative one counts as 0.
func (h *histogram) Update(value int64) {
	value = max(value, 0)
	h.buckets[bucketOf(value)].Add(1)
	h.count.Add(1)
	h.sum.Add(value)
	addFloat(&h.squares, float64(value)*float64(value))
	for old := h.least.Load(); value < old && !h.least.CompareAndSwap(old, value); old = h.least.Load() {
	}
	for old := h.most.Load(); value > old && !h.most.CompareAndSwap(old, value); old = h.most.Load() {
	}
}

// Count returns the number of values.
func (h *histogram) Count() int64 { return h.count.Load() }

// Sum returns the sum of the values.
func (h *histogram) Sum() int64 { return h.sum.Load() }

// Max returns the largest value, or 0 without values.
func (h *histogram) Max() int64 { return h.most.Load() }

// Min returns the smallest value, or 0 without values.
func (h *histogram) Min() int64 {
	if least := h.least.Load(); least != math.MaxInt64 {
		return least
	}
	return 0
}

// Mean returns the mean of the values, or 0 without values.
func (h *histogram) Mean() float64 {
	if n := h.Count(); n > 0 {
		return float64(h.Sum()) / float64(n)
	}
	return 0
}

// Variance returns the variance of the values, or 0 without values.
func (h *histogram) Variance() float64 {
	n := h.Count()
	if n == 0 {
		return 0
	}
	mean := h.Mean()
	return max(0, math.Float64frombits(h.squares.Load())/float64(n)-mean*mean)
}

// StdDev returns the standard deviation of the values.
func (h *histogram) StdDev() float64 { return math.Sqrt(h.Variance()) }

// Percentile returns the value below which the given share (0 to 1) of the values lies.
func (h *histogram) Percentile(p float64) float64 { return h.Percentiles([]float64{p})[0] }

// Percentiles returns the percentile of each share.
func (h *histogram) Percentiles(shares []float64) []float64 {
	var counts [bucketCount]int64
	total := int64(0)
	for i := range h.buckets {
		counts[i] = h.buckets[i].Load()
		total += counts[i]
	}
	values := make([]float64, len(shares))
	for i, p := range shares {
		values[i] = percentile(&counts, total, p)
	}
	return values
}

// Sample returns an empty sample, because single values are not kept.
func (h *histogram) Sample() gometrics.Sample { return gometrics.NilSample{} }

// Snapshot returns a copy.
func (h *histogram) Snapshot() gometrics.Histogram {
	c := &histogram{}
	c.count.Store(h.count.Load())
	c.sum.Store(h.sum.Load())
	c.squares.Store(h.squares.Load())
	c.least.Store(h.least.Load())
	c.most.Store(h.most.Load())
	for i := range h.buckets {
		c.buckets[i].Store(h.buckets[i].Load())
	}
	return c
}

func percentile(counts *[bucketCount]int64, total int64, share float64) float64 {
	wanted := int64(math.Ceil(share * float64(total)))
	seen := int64(0)
	for i, n := range counts {
		seen += n
		if n > 0 && seen >= wanted {
			return float64(floorOf(i))
		}
	}
	return 0
}

// bucketOf returns the index of a value's bucket; values below steps have a bucket each.
func bucketOf(value int64) int {
	if value < steps {
		return int(value)
	}
	shift := bits.Len64(uint64(value)) - 1 - stepBits
	return (shift+1)*steps + int(value>>shift) - steps
}

// floorOf returns the smallest value of a bucket.
func floorOf(bucket int) int64 {
	if bucket < steps {
		return int64(bucket)
	}
	shift := bucket/steps - 1
	return int64(bucket%steps+steps) << shift
}

func addFloat(a *atomic.Uint64, f float64) {
	for {
		old := a.Load()
		if a.CompareAndSwap(old, math.Float64bits(math.Float64frombits(old)+f)) {
			return
		}
	}
}
