// Package link manages the QUIC connections between the processes of the system and opens one stream for each exchange.
// It detects unreachable peers within 3 s; the messages on the streams are defined by package wire.
package link
