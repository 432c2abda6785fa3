// Package ledger is the pure core of the replicated ledger: it takes messages,
// ticks, proposals and storage completions, and returns the effects to carry out.
package ledger
