// Package driver runs the ledger's core on goroutines with real time, storage and a transport.
package driver
