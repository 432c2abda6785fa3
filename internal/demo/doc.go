// Package demo runs a whole system with stand-ins, sends it requests and a gang
// job, and judges the outcomes.
package demo
