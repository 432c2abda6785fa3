package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// lockName is the file whose lock keeps a second process out of the folder.
const lockName = "lock"

// Folder is a Disk in a folder of the file system.
type Folder struct {
	path string
	lock *os.File
}

// OpenFolder creates the folder if needed and locks it until Close.
func OpenFolder(path string) (f *Folder, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("open data folder %s: %w", path, err)
		}
	}()
	if err = os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	// The folder's own name is durable once its parent is synced.
	if err = syncFolder(filepath.Dir(path)); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("another process uses it: %w", err), lock.Close())
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close releases the lock.
func (f *Folder) Close() error { return f.lock.Close() }

// List implements Disk.
func (f *Folder) List() (names []string, err error) {
	entries, err := os.ReadDir(f.path)
	for _, e := range entries {
		if e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Read implements Disk.
func (f *Folder) Read(name string) (data []byte, err error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create implements Disk.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Open implements Disk.
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

// Rename implements Disk.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove implements Disk.
func (f *Folder) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

// SyncFolder implements Disk.
func (f *Folder) SyncFolder() error { return syncFolder(f.path) }

func syncFolder(path string) (err error) {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	return d.Sync()
}
