// Package ledger implements the consensus algorithm of the replicated log, a variant of Raft with
// pre-votes and leader leases. It is a deterministic state machine without goroutines and I/O: Core.Step
// takes messages, ticks, proposals and completed writes, and returns the effects that the caller carries
// out. Packages driver, storage and transport supply the event loop, the files and the network.
package ledger
