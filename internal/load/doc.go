// Package load sends HTTP requests at a fixed rate and reports their latencies and outcomes. What they should be is
// left to its callers, a command of rosemarywind and benchmarks.
package load
