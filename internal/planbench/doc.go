// Package planbench runs generated arrival lists through the planner in virtual
// time and measures completion time, fragmentation and work lost. It models the
// time that jobs take and nothing else of a cluster.
package planbench
