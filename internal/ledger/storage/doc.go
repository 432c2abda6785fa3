// Package storage keeps a member's hard state, log and snapshot in files under one folder.
package storage
