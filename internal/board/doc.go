// Package board provides the parts of a blackboard, the shared state through which the controllers of a process work
// together. A blackboard consists of sections. A section holds one immutable value, which its controller replaces by
// publishing a new one and which any number of threads read without a lock. Tables are immutable maps to publish in
// sections. The meaning of the values and the choice of the writers are left to the packages that own a blackboard.
package board
