// Package load sends requests at a fixed rate and reports their latencies and
// outcomes.
package load
