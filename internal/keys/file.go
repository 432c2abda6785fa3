package keys

import (
	"fmt"
	"os"
	"path/filepath"
)

// WriteFiles writes the pair's two PEM files with mode 0600; it replaces each file atomically.
func (p Pair) WriteFiles(certificate, key string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write key files: %w", err)
		}
	}()
	// A Reloader that reads between the two writes finds a new key with the old certificate and keeps the pair in use.
	if err = replaceFile(key, p.key); err != nil {
		return err
	}
	return replaceFile(certificate, p.certificate)
}

// WriteCertificate writes the authority's PEM certificate, which the processes of the system trust, with mode 0600.
func (a *Authority) WriteCertificate(file string) error {
	return replaceFile(file, a.pair.certificate)
}

// ReadPair reads the two PEM files of a pair without parsing them.
func ReadPair(certificate, key string) (p Pair, err error) {
	if p.certificate, err = os.ReadFile(certificate); err != nil {
		return Pair{}, fmt.Errorf("read certificate: %w", err)
	}
	if p.key, err = os.ReadFile(key); err != nil {
		return Pair{}, fmt.Errorf("read key: %w", err)
	}
	return p, nil
}

// replaceFile writes a temporary file with mode 0600, syncs it and renames it, so that a reader never sees a part.
func replaceFile(name string, data []byte) (err error) {
	f, err := os.CreateTemp(filepath.Dir(name), ".new-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name())
		}
	}()
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), name)
}
