// Package link keeps QUIC connections between the system's processes and opens
// one stream for each exchange.
package link
