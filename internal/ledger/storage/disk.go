package storage

// Disk is a folder of files. What is written is durable only after a sync of the
// file; a file that was created, renamed or removed stays so only after SyncFolder.
type Disk interface {
	// List returns the names of all files.
	List() (names []string, err error)
	// Read returns the content of a file.
	Read(name string) (data []byte, err error)
	// Create opens an empty file for writing and replaces one of the same name.
	Create(name string) (f File, err error)
	// Open opens an existing file for writing at its end, after it cuts the file to size bytes.
	Open(name string, size int64) (f File, err error)
	// Rename replaces the file named to.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncFolder makes the names of the folder durable.
	SyncFolder() error
}

// File is a file that is open for writing at its end.
type File interface {
	Write(data []byte) (n int, err error)
	Sync() error
	Close() error
}
