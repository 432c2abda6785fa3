// Package speed estimates the speed of each worker, relative to the other workers of its service, from the durations of
// the runs at work there. A Model takes in observations and returns immutable Estimates; the present time is an argument.
package speed
