// Package placement decides which waiting tasks start on which workers, which capacity is reserved for tasks that
// cannot start yet, and which runs are preempted for more urgent jobs. Decide computes a Plan from a View without side
// effects; committing the plan, ordering the starts and stops, and asking the advisor are left to the caller.
package placement
