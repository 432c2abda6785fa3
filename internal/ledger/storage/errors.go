package storage

import "fmt"

// DamageError says that synced data was changed on the disk; the host must be emptied and rejoin.
type DamageError struct {
	file   string
	offset int64
	detail string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("file %s is damaged at offset %d: %s", e.file, e.offset, e.detail)
}

// File returns the name of the damaged file.
func (e *DamageError) File() string { return e.file }

// Offset returns where the first damaged frame starts, in bytes.
func (e *DamageError) Offset() int64 { return e.offset }

// FatalError says that a write or a sync failed. It is unknown what the disk holds
// now, so that the process must end and recover from the files.
type FatalError struct{ cause error }

// Error implements error.
func (e *FatalError) Error() string {
	return fmt.Sprintf("storage failed, the process must end: %v", e.cause)
}

// Unwrap returns the cause.
func (e *FatalError) Unwrap() error { return e.cause }
