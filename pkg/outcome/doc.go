// Package outcome defines what a caller is told about its request: whether it
// ran, did not run, or may have run.
package outcome
