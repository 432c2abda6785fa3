package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// lockFileName is the file that a process locks while it uses the folder.
const lockFileName = "lock"

// Folder is a Disk in a folder of the file system, locked against other processes.
type Folder struct {
	path string
	lock *os.File
}

// OpenFolder creates the folder if it does not exist, and locks it until Close. It fails if another process holds the
// lock.
func OpenFolder(path string) (f *Folder, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("open data folder %s: %w", path, err)
		}
	}()
	if err = os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	// The entry of the folder in its parent is durable only after a sync of the parent.
	if err = syncFolder(filepath.Dir(path)); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("another process uses it: %w", err), lock.Close())
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close releases the lock. Files opened from the folder stay open.
func (f *Folder) Close() error { return f.lock.Close() }

// List returns the names of all files except for the lock file.
func (f *Folder) List() (names []string, err error) {
	entries, err := os.ReadDir(f.path)
	for _, e := range entries {
		if e.Name() != lockFileName {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Read returns the whole content of a file.
func (f *Folder) Read(name string) (data []byte, err error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create creates a file for writing, and truncates it if it exists.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Open truncates an existing file to size bytes and opens it for appending.
func (f *Folder) Open(name string, size int64) (File, error) {
	o, err := os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	if err := o.Truncate(size); err != nil {
		return nil, errors.Join(err, o.Close())
	}
	return o, nil
}

// Rename renames a file and replaces a file that is named to.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove removes a file; the removal is durable only after SyncFolder.
func (f *Folder) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

// SyncFolder makes all changes of names in the folder durable.
func (f *Folder) SyncFolder() error { return syncFolder(f.path) }

func syncFolder(path string) (err error) {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	return d.Sync()
}
