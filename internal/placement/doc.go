// Package placement decides which waiting tasks begin on which workers, which of them wait for a reservation, and which
// runs are stopped for more urgent ones.
package placement
