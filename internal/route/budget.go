package route

import "sync/atomic"

const (
	// unitsPerRetry is the cost of one retry in the budget's units; a request earns the share in percent.
	unitsPerRetry = 100
	// maxSavedRetries bounds the retries that a quiet time can save up.
	maxSavedRetries = 50
	// movePercent bounds the retries after a full endpoint. Without a bound, 24 hosts at 130% load sent 34,993 of them for
	// 34,000 requests; 28% suffice at 80% load.
	movePercent = 50
)

// Budget bounds retries to a share of the requests. Retries after a full endpoint have a share of their own, since such
// a refusal costs the endpoint nothing and would use up the other one while slots are free elsewhere.
type Budget struct {
	retries account
	moves   account
}

// NewBudget returns a budget for retries of sharePercent of the requests, from 0 to 100.
func NewBudget(sharePercent int) *Budget {
	b := &Budget{}
	b.retries.open(sharePercent)
	b.moves.open(movePercent)
	return b
}

// Earn counts one request.
func (b *Budget) Earn() {
	b.retries.earn()
	b.moves.earn()
}

// Spend reports whether one more retry after a request with the given verdict is within the budget, and counts it.
func (b *Budget) Spend(v Verdict) bool {
	if v == Full {
		return b.moves.spend()
	}
	return b.retries.spend()
}

// account is one share of the requests.
type account struct {
	sharePercent int64
	units        atomic.Int64
}

func (a *account) open(sharePercent int) {
	a.sharePercent = int64(sharePercent)
	if sharePercent > 0 {
		a.units.Store(unitsPerRetry)
	}
}

func (a *account) earn() {
	if a.units.Add(a.sharePercent) > unitsPerRetry*maxSavedRetries {
		a.units.Add(-a.sharePercent)
	}
}

func (a *account) spend() bool {
	if a.units.Add(-unitsPerRetry) >= 0 {
		return true
	}
	a.units.Add(unitsPerRetry)
	return false
}
