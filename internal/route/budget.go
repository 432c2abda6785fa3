package route

import "sync/atomic"

const (
	// tokensPerRetry is the cost of one retry. Each request deposits as many tokens as its share in percent.
	tokensPerRetry = 100
	// maxAccumulatedRetries bounds the retries that can accumulate while few are made.
	maxAccumulatedRetries = 50
	// fullRetryPercent is the share of requests that may be retried after a full endpoint refused them. Without a
	// bound, 24 hosts at 130% load sent 34,993 such retries for 34,000 requests; 28% suffice at 80% load.
	fullRetryPercent = 50
)

// RetryBudget bounds retries to a share of the requests; it is safe for concurrent use. Retries after a refusal by a
// full endpoint have a separate share, since such a refusal costs the endpoint nothing and would use up the budget for
// failures while other endpoints have free slots.
type RetryBudget struct {
	retries     tokenBucket
	fullRetries tokenBucket
}

// NewRetryBudget returns a budget for retries after failures of sharePercent of the requests, from 0 to 100.
func NewRetryBudget(sharePercent int) *RetryBudget {
	b := &RetryBudget{}
	b.retries.reset(sharePercent)
	b.fullRetries.reset(fullRetryPercent)
	return b
}

// Deposit adds one request's share to the budget.
func (b *RetryBudget) Deposit() {
	b.retries.deposit()
	b.fullRetries.deposit()
}

// TryWithdraw reports whether the budget allows a retry after an attempt with verdict v, and if so deducts it.
func (b *RetryBudget) TryWithdraw(v Verdict) bool {
	if v == Full {
		return b.fullRetries.tryWithdraw()
	}
	return b.retries.tryWithdraw()
}

// tokenBucket holds the tokens of one share of the requests.
type tokenBucket struct {
	sharePercent int64
	tokens       atomic.Int64
}

// reset sets the share and allows one retry before the first request, none if the share is 0.
func (t *tokenBucket) reset(sharePercent int) {
	t.sharePercent = int64(sharePercent)
	if sharePercent > 0 {
		t.tokens.Store(tokensPerRetry)
	}
}

func (t *tokenBucket) deposit() {
	if t.tokens.Add(t.sharePercent) > tokensPerRetry*maxAccumulatedRetries {
		t.tokens.Add(-t.sharePercent)
	}
}

func (t *tokenBucket) tryWithdraw() bool {
	if t.tokens.Add(-tokensPerRetry) >= 0 {
		return true
	}
	t.tokens.Add(tokensPerRetry)
	return false
}
