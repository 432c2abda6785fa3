package telemetry

import (
	"math"
	"math/bits"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
)

// Each power of two is divided into 16 buckets, so that a reported percentile is at most 6.25% too low.
const (
	subBucketBits = 4
	subBuckets    = 1 << subBucketBits
	bucketCount   = (64 - subBucketBits + 1) * subBuckets
)

// histogram counts values in buckets with atomics, because the samples of go-metrics take a lock on each update.
type histogram struct {
	count        atomic.Int64
	sum          atomic.Int64
	sumOfSquares atomic.Uint64
	minimum      atomic.Int64
	maximum      atomic.Int64
	buckets      [bucketCount]atomic.Int64
}

// NewHistogram returns a histogram of non-negative values whose updates take no lock.
func NewHistogram() gometrics.Histogram {
	h := &histogram{}
	h.Clear()
	return h
}

// Clear removes all values. It is not atomic: a value added concurrently may remain in some of the totals only.
func (h *histogram) Clear() {
	h.count.Store(0)
	h.sum.Store(0)
	h.sumOfSquares.Store(0)
	h.minimum.Store(math.MaxInt64)
	h.maximum.Store(0)
	for i := range h.buckets {
		h.buckets[i].Store(0)
	}
}

// Update adds a value; a negative one is recorded as 0.
func (h *histogram) Update(value int64) {
	value = max(value, 0)
	h.buckets[bucketIndex(value)].Add(1)
	h.count.Add(1)
	h.sum.Add(value)
	addFloat(&h.sumOfSquares, float64(value)*float64(value))
	for old := h.minimum.Load(); value < old && !h.minimum.CompareAndSwap(old, value); old = h.minimum.Load() {
	}
	for old := h.maximum.Load(); value > old && !h.maximum.CompareAndSwap(old, value); old = h.maximum.Load() {
	}
}

// Count returns the number of values.
func (h *histogram) Count() int64 { return h.count.Load() }

// Sum returns the sum of the values.
func (h *histogram) Sum() int64 { return h.sum.Load() }

// Max returns the largest value, or 0 without values.
func (h *histogram) Max() int64 { return h.maximum.Load() }

// Min returns the smallest value, or 0 without values.
func (h *histogram) Min() int64 {
	if lowest := h.minimum.Load(); lowest != math.MaxInt64 {
		return lowest
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
	return max(0, math.Float64frombits(h.sumOfSquares.Load())/float64(n)-mean*mean)
}

// StdDev returns the standard deviation of the values, or 0 without values.
func (h *histogram) StdDev() float64 { return math.Sqrt(h.Variance()) }

// Percentile returns the lower bound of the bucket that holds the given quantile (0 to 1), or 0 without values.
func (h *histogram) Percentile(p float64) float64 { return h.Percentiles([]float64{p})[0] }

// Percentiles returns the value of Percentile for each quantile, all from one pass over the buckets.
func (h *histogram) Percentiles(quantiles []float64) []float64 {
	var counts [bucketCount]int64
	total := int64(0)
	for i := range h.buckets {
		counts[i] = h.buckets[i].Load()
		total += counts[i]
	}
	values := make([]float64, len(quantiles))
	for i, q := range quantiles {
		values[i] = percentile(&counts, total, q)
	}
	return values
}

// Sample returns an empty sample, because the histogram does not store single values.
func (h *histogram) Sample() gometrics.Sample { return gometrics.NilSample{} }

// Snapshot returns a copy that later updates do not change.
func (h *histogram) Snapshot() gometrics.Histogram {
	c := &histogram{}
	c.count.Store(h.count.Load())
	c.sum.Store(h.sum.Load())
	c.sumOfSquares.Store(h.sumOfSquares.Load())
	c.minimum.Store(h.minimum.Load())
	c.maximum.Store(h.maximum.Load())
	for i := range h.buckets {
		c.buckets[i].Store(h.buckets[i].Load())
	}
	return c
}

func percentile(counts *[bucketCount]int64, total int64, quantile float64) float64 {
	rank := int64(math.Ceil(quantile * float64(total)))
	cumulative := int64(0)
	for i, n := range counts {
		cumulative += n
		if n > 0 && cumulative >= rank {
			return float64(bucketMinimum(i))
		}
	}
	return 0
}

// bucketIndex returns the index of a value's bucket; each value below subBuckets has a bucket of its own.
func bucketIndex(value int64) int {
	if value < subBuckets {
		return int(value)
	}
	shift := bits.Len64(uint64(value)) - 1 - subBucketBits
	return (shift+1)*subBuckets + int(value>>shift) - subBuckets
}

// bucketMinimum returns the smallest value of a bucket.
func bucketMinimum(bucket int) int64 {
	if bucket < subBuckets {
		return int64(bucket)
	}
	shift := bucket/subBuckets - 1
	return int64(bucket%subBuckets+subBuckets) << shift
}

func addFloat(a *atomic.Uint64, f float64) {
	for {
		old := a.Load()
		if a.CompareAndSwap(old, math.Float64bits(math.Float64frombits(old)+f)) {
			return
		}
	}
}
