// Package registry is the deterministic state machine that the ledger replicates. Its state holds the configuration, the
// jobs, the claims by which non-idempotent requests run at most once, and the replies to operators' requests. Proposing
// commands, replicating and encoding them, and carrying out what they decide are left to other packages.
package registry
