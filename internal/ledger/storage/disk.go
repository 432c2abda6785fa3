package storage

// Disk is a folder of files. Written data is durable only after a sync of the file. The creation, renaming or removal
// of a file is durable only after SyncFolder.
type Disk interface {
	// List returns the names of all files.
	List() (names []string, err error)
	// Read returns the content of a file.
	Read(name string) (data []byte, err error)
	// Create creates a file for writing, and truncates it if it exists.
	Create(name string) (f File, err error)
	// Open truncates an existing file to size bytes and opens it for appending.
	Open(name string, size int64) (f File, err error)
	// Rename renames a file and replaces a file that is named to.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncFolder makes all changes of names in the folder durable.
	SyncFolder() error
}

// File is a file that is open for appending.
type File interface {
	Write(data []byte) (n int, err error)
	Sync() error
	Close() error
}
