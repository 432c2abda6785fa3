package route

import "sync/atomic"

const (
	// unitsPerRetry is the cost of one retry in the budget's units; a request earns the share in percent.
	unitsPerRetry = 100
	// maxSavedRetries bounds the retries that a quiet time can save up.
	maxSavedRetries = 50
)

// Budget bounds retries to a share of the requests.
type Budget struct {
	sharePercent int64
	units        atomic.Int64
}

// NewBudget returns a budget for retries of sharePercent of the requests, from 0 to 100.
func NewBudget(sharePercent int) *Budget {
	b := &Budget{sharePercent: int64(sharePercent)}
	if sharePercent > 0 {
		b.units.Store(unitsPerRetry)
	}
	return b
}

// Earn counts one request.
func (b *Budget) Earn() {
	if b.units.Add(b.sharePercent) > unitsPerRetry*maxSavedRetries {
		b.units.Add(-b.sharePercent)
	}
}

// SpendAfter reports whether a request with the given verdict may be retried, and counts the retry. A refusal for want
// of a slot costs the endpoint nothing, so its retry is bounded by the attempts of the request alone.
func (b *Budget) SpendAfter(v Verdict) bool { return v == Full || b.Spend() }

// Spend reports whether one more retry is within the budget, and counts it.
func (b *Budget) Spend() bool {
	if b.units.Add(-unitsPerRetry) >= 0 {
		return true
	}
	b.units.Add(unitsPerRetry)
	return false
}
