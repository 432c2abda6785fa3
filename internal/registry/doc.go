// Package registry is the state machine that the ledger replicates: the
// configuration, jobs, at-most-once records and the answers to operators.
package registry
