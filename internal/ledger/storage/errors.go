package storage

import "fmt"

// DamageError reports that synced data has changed on the disk. The disk must be emptied, so that the host rejoins.
type DamageError struct {
	file   string
	offset int64
	detail string
}

// Error names the file and the offset.
func (e *DamageError) Error() string {
	return fmt.Sprintf("file %s is damaged at offset %d: %s", e.file, e.offset, e.detail)
}

// File returns the name of the damaged file within its folder.
func (e *DamageError) File() string { return e.file }

// Offset returns the offset of the first damaged frame in bytes.
func (e *DamageError) Offset() int64 { return e.offset }

// FatalError reports that a write or a sync failed. The content of the disk is unknown afterwards, so the process must
// end and recover from the files when it restarts.
type FatalError struct{ cause error }

// Error includes the cause.
func (e *FatalError) Error() string {
	return fmt.Sprintf("storage failed, the process must end: %v", e.cause)
}

// Unwrap returns the error of the failed write or sync.
func (e *FatalError) Unwrap() error { return e.cause }
