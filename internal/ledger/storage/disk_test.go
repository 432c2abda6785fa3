package storage_test

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"rosemarywind.example/rosemarywind/internal/ledger/storage"
)

var errSync = errors.New("input/output error")

// fakeDisk is a disk in memory that loses what was not synced.
type fakeDisk struct {
	names   map[string]*fakeFile
	durable map[string]*fakeFile
	syncs   int
	failAt  int // the number of the sync that fails, if it is not 0
}

type fakeFile struct {
	disk   *fakeDisk
	data   []byte
	synced []byte
}

func newFakeDisk() *fakeDisk {
	return &fakeDisk{names: map[string]*fakeFile{}, durable: map[string]*fakeFile{}}
}

func (d *fakeDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.names)), nil }

func (d *fakeDisk) Read(name string) ([]byte, error) {
	f, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *fakeDisk) Create(name string) (storage.File, error) {
	d.names[name] = &fakeFile{disk: d}
	return d.names[name], nil
}

func (d *fakeDisk) Open(name string, size int64) (storage.File, error) {
	f, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	f.data = f.data[:size:size]
	return f, nil
}

func (d *fakeDisk) Rename(from, to string) error {
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	delete(d.names, name)
	return nil
}

func (d *fakeDisk) SyncFolder() error {
	if err := d.sync(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

func (d *fakeDisk) sync() error {
	d.syncs++
	if d.syncs == d.failAt {
		return errSync
	}
	return nil
}

// crash ends the process, or the host: a host loses names and bytes that were not
// synced, and of the bytes any part may be left, with holes.
func (d *fakeDisk) crash(random *rand.Rand) {
	d.failAt = 0
	if random.IntN(3) == 0 {
		return
	}
	if random.IntN(2) == 0 {
		d.names = maps.Clone(d.durable)
	}
	for _, n := range slices.Sorted(maps.Keys(d.names)) {
		f := d.names[n]
		left := slices.Clone(f.synced)
		if len(f.data) > len(f.synced) {
			torn := slices.Clone(f.data[len(f.synced):])
			torn = torn[:random.IntN(len(torn)+1)]
			if len(torn) > 0 && random.IntN(2) == 0 {
				clear(torn[random.IntN(len(torn)):])
			}
			left = append(left, torn...)
		}
		f.data, f.synced = left, slices.Clone(left)
	}
	d.durable = maps.Clone(d.names)
}

func (f *fakeFile) Write(data []byte) (int, error) {
	f.data = append(f.data, data...)
	return len(data), nil
}

func (f *fakeFile) Sync() error {
	if err := f.disk.sync(); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *fakeFile) Close() error { return nil }
