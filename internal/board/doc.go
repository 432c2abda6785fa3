// Package board provides the sections of a blackboard: immutable values that
// one controller publishes and any number of threads read without a lock.
package board
