// Package wire encodes messages between rosemarywind's processes, records of the ledger and snapshots as CBOR, and
// converts them to and from the types that other packages use. Connections, retries and decisions are left to those
// packages.
package wire
