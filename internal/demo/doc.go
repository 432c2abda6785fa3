// Package demo starts a whole system with stand-ins, sends it requests and a gang job, and checks their outcomes. The
// command rosemarywind runs it.
package demo
