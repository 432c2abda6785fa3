// Package capacity measures what the roles cost: it plays many agents and entry
// hosts against one control process and reads that process's use of the machine.
package capacity
