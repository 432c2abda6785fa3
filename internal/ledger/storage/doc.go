// Package storage persists the hard state, the log and the snapshot of a member in files of one folder, and recovers
// them after a crash. It also defines the encoded form of entries and snapshots, which messages share.
package storage
