// Package transport sends the encoded messages of package driver over the streams of package link. Delivery is not
// guaranteed; the protocol in package ledger repeats what is lost.
package transport
