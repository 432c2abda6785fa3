// Package observer logs and measures the status of a ledger node for operators: the membership, the voters that the
// leader can reach, elections, and the wait of a host without a vote. It decides nothing.
package observer
