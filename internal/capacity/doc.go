// Package capacity measures the resource usage of a control process: it simulates many
// agents and entry hosts that are connected to it, reads its processor time and memory
// from /proc, and times how fast configurations reach the entry hosts. It does not start
// the control process.
package capacity
