package intake

import "sync/atomic"

// Budget counts the bytes that a process holds for its clients. Its methods may be called concurrently.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns the number of bytes that are held for all clients.
func (b *Budget) Held() int64 { return b.held.Load() }

// Peer counts the bytes that are held for the clients at one address.
type Peer struct{ held atomic.Int64 }

// Charge is what a budget holds for one request. It must not be used concurrently.
type Charge struct {
	budget *Budget
	peer   *Peer
	bytes  int64
}

// NewCharge returns an empty charge for a client; peer may be nil if the address of the client is not known.
func (b *Budget) NewCharge(peer *Peer) *Charge { return &Charge{budget: b, peer: peer} }

// Bytes returns the number of bytes of the charge.
func (c *Charge) Bytes() int64 { return c.bytes }

// Add charges n more bytes, or none of them and returns the refusal. A charge that stays small may use all of the budget,
// a larger one leaves the reserve.
func (c *Charge) Add(n int64) *Refusal {
	limit := float64(c.budget.limit)
	if c.bytes+n > smallBytes {
		limit *= 1 - reserveShare
	}
	if c.budget.held.Add(n) > int64(limit) {
		c.budget.held.Add(-n)
		return &Refusal{reason: BudgetSpent}
	}
	if c.peer != nil && c.peer.held.Add(n) > int64(limit*peerShare) {
		c.peer.held.Add(-n)
		c.budget.held.Add(-n)
		return &Refusal{reason: ShareSpent}
	}
	c.bytes += n
	return nil
}

// Release returns all bytes to the budget.
func (c *Charge) Release() {
	c.budget.held.Add(-c.bytes)
	if c.peer != nil {
		c.peer.held.Add(-c.bytes)
	}
	c.bytes = 0
}
