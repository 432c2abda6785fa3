// Package leader finds the leader among the control hosts and sends calls to it.
//
// A Client searches for the leader and retries calls; a Search only chooses the host to connect to next. Connections are
// left to package link, the encoding of calls to package wire.
package leader
