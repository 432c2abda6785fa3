package storage

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Names of the files of generation n. The log of the highest generation counts, with
// the snapshot of the same generation; its rename makes the generation valid.
const (
	logName      = "log-%020d"
	snapshotName = "snapshot-%020d"
	temporary    = ".new"
)

// Store writes what a core asks to persist. It is not safe for concurrent use.
type Store struct {
	disk       Disk
	file       File
	generation uint64
	sequence   uint64
	hard       ledger.HardState
	failed     error
}

// Save makes all writes durable, in order and with one sync unless there is a snapshot
// among them. Its error is a FatalError, after which the store refuses all writes.
func (s *Store) Save(writes []ledger.Persist) (err error) {
	defer func() {
		if err != nil {
			s.failed = err
			err = &FatalError{cause: err}
		}
	}()
	if s.failed != nil {
		return s.failed
	}
	first := 0
	for i, w := range writes {
		snapshot, ok := w.Snapshot()
		if !ok {
			continue
		}
		if err = s.extend(writes[first:i]); err != nil {
			return err
		}
		if err = s.replace(w, snapshot); err != nil {
			return err
		}
		first = i + 1
	}
	return s.extend(writes[first:])
}

// Close closes the log file; all that was saved is durable before.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

// extend appends one frame to the log and syncs it.
func (s *Store) extend(writes []ledger.Persist) error {
	if len(writes) == 0 {
		return nil
	}
	if s.file == nil {
		return errors.New("the disk has no founding snapshot")
	}
	var entries []ledger.Entry
	for _, w := range writes {
		entries = overwrite(entries, w.Entries())
	}
	s.hard = writes[len(writes)-1].Hard()
	if err := s.write(s.file, entries); err != nil {
		return err
	}
	return s.file.Sync()
}

// overwrite returns entries in which those at or after the first new one are replaced.
func overwrite(entries, added []ledger.Entry) []ledger.Entry {
	if len(added) == 0 {
		return entries
	}
	n := len(entries)
	for n > 0 && entries[n-1].Index() >= added[0].Index() {
		n--
	}
	return append(entries[:n:n], added...)
}

func (s *Store) write(f File, entries []ledger.Entry) error {
	payload, err := cbor.Marshal(encodedWrite{
		Identity: string(s.hard.Identity()), Term: s.hard.Term(), Vote: string(s.hard.Vote()),
		Entries: EncodeEntries(entries),
	})
	if err != nil {
		return err
	}
	s.sequence++
	_, err = f.Write(appendFrame(make([]byte, 0, headerBytes+len(payload)), s.sequence, payload))
	return err
}

// replace begins a new generation with a snapshot and the log after it. A snapshot of
// an older leader's log may contradict the old log file, so both change with one rename.
func (s *Store) replace(w ledger.Persist, snapshot ledger.Snapshot) (err error) {
	next := s.generation + 1
	s.hard = w.Hard()
	payload, err := cbor.Marshal(EncodeSnapshot(snapshot))
	if err != nil {
		return err
	}
	if _, err = s.create(fmt.Sprintf(snapshotName, next), func(f File) error {
		_, err := f.Write(appendFrame(nil, next, payload))
		return err
	}); err != nil {
		return err
	}
	f, err := s.create(fmt.Sprintf(logName, next), func(f File) error { return s.write(f, w.Entries()) })
	if err != nil {
		return err
	}
	if s.file != nil {
		if err = s.file.Close(); err != nil {
			return err
		}
		for _, format := range []string{logName, snapshotName} {
			if err = s.disk.Remove(fmt.Sprintf(format, s.generation)); err != nil {
				return err
			}
		}
	}
	s.file, s.generation = f, next
	return nil
}

// create writes a file under a temporary name, syncs it, gives it its name and syncs the folder.
func (s *Store) create(name string, fill func(File) error) (f File, err error) {
	f, err = s.disk.Create(name + temporary)
	if err != nil {
		return nil, err
	}
	if err = fill(f); err != nil {
		return nil, err
	}
	if err = f.Sync(); err != nil {
		return nil, err
	}
	if err = s.disk.Rename(name+temporary, name); err != nil {
		return nil, err
	}
	return f, s.disk.SyncFolder()
}
