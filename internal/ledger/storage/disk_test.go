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

// fakeDisk is an in-memory disk that loses unsynced data in a crash.
type fakeDisk struct {
	files       map[string]*fakeFile
	syncedFiles map[string]*fakeFile
	syncs       int
	failingSync int // number of the sync that fails; 0 for none
}

type fakeFile struct {
	disk   *fakeDisk
	data   []byte
	synced []byte
}

func newFakeDisk() *fakeDisk {
	return &fakeDisk{files: map[string]*fakeFile{}, syncedFiles: map[string]*fakeFile{}}
}

func (d *fakeDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.files)), nil }

func (d *fakeDisk) Read(name string) ([]byte, error) {
	f, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *fakeDisk) Create(name string) (storage.File, error) {
	d.files[name] = &fakeFile{disk: d}
	return d.files[name], nil
}

func (d *fakeDisk) Open(name string, size int64) (storage.File, error) {
	f, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	f.data = f.data[:size:size]
	return f, nil
}

func (d *fakeDisk) Rename(from, to string) error {
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

func (d *fakeDisk) SyncFolder() error {
	if err := d.sync(); err != nil {
		return err
	}
	d.syncedFiles = maps.Clone(d.files)
	return nil
}

func (d *fakeDisk) sync() error {
	d.syncs++
	if d.syncs == d.failingSync {
		return errSync
	}
	return nil
}

// crash simulates the crash of the process, which loses nothing, or of the host. A crash of the host loses unsynced
// names, and leaves any part of the unsynced bytes, possibly followed by zeros.
func (d *fakeDisk) crash(random *rand.Rand) {
	d.failingSync = 0
	if random.IntN(3) == 0 {
		return
	}
	if random.IntN(2) == 0 {
		d.files = maps.Clone(d.syncedFiles)
	}
	for _, n := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[n]
		data := slices.Clone(f.synced)
		if len(f.data) > len(f.synced) {
			torn := slices.Clone(f.data[len(f.synced):])
			torn = torn[:random.IntN(len(torn)+1)]
			if len(torn) > 0 && random.IntN(2) == 0 {
				clear(torn[random.IntN(len(torn)):])
			}
			data = append(data, torn...)
		}
		f.data, f.synced = data, slices.Clone(data)
	}
	d.syncedFiles = maps.Clone(d.files)
}

func (f *fakeFile) Write(data []byte) (int, error) {
	f.data = append(f.data, data...)
	return len(data), nil
}

func (f *fakeFile) Sync() error {
	if err := f.disk.sync(); err != nil {
		return err
	}
	// Data is only appended, so the synced part can share its memory.
	f.synced = slices.Clip(f.data)
	return nil
}

func (f *fakeFile) Close() error { return nil }
