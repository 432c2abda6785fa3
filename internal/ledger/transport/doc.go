// Package transport carries the messages of the ledger's members over links.
package transport
