// Package board provides the parts of a blackboard: sections, each of which holds an immutable value that one controller
// publishes and any number of threads read without a lock, and tables, which are immutable maps to publish in them.
// The meaning of the values and the choice of the writers are left to the packages that own a blackboard.
package board
