package keys

import (
	"fmt"
	"os"
	"path/filepath"
)

// WriteFiles writes the pair's two PEM files, readable by their owner only.
func (p Pair) WriteFiles(certificate, key string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write key files: %w", err)
		}
	}()
	// A reader that finds the new key with the old certificate keeps its loaded pair.
	if err = replaceFile(key, p.key); err != nil {
		return err
	}
	return replaceFile(certificate, p.certificate)
}

// WriteAuthority writes the authority's certificate, which the other processes trust.
func (a *Authority) WriteAuthority(file string) error {
	return replaceFile(file, a.pair.certificate)
}

// ReadPair reads the two PEM files of a pair.
func ReadPair(certificate, key string) (p Pair, err error) {
	if p.certificate, err = os.ReadFile(certificate); err != nil {
		return Pair{}, fmt.Errorf("read certificate: %w", err)
	}
	if p.key, err = os.ReadFile(key); err != nil {
		return Pair{}, fmt.Errorf("read key: %w", err)
	}
	return p, nil
}

// replaceFile writes a file with mode 0600 and puts it in place whole.
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
