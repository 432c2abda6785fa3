// Package fuzzing sets the seed, the number of checks and the number of steps of tests with rapid, and counts the steps
// that stateful tests run.
package fuzzing
