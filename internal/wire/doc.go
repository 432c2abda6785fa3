// Package wire encodes the messages between the system's processes and the
// records of the ledger as CBOR, and converts them to and from the types that
// the rest of the code uses.
package wire
