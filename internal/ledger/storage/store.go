package storage

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// File names of a generation. The log file of the highest generation is valid, together with the snapshot of the same
// generation. The rename of the log file makes a new generation valid.
const (
	logNameFormat      = "log-%020d"
	snapshotNameFormat = "snapshot-%020d"
	temporarySuffix    = ".new"
)

// Store makes the Persist effects of a core durable. It is not safe for concurrent use.
type Store struct {
	disk       Disk
	file       File
	generation uint64
	sequence   uint64
	hardState  ledger.HardState
	failed     error
}

// Save makes all writes durable, in order. It needs one sync if they contain no snapshot. An error is a FatalError,
// after which all further calls fail.
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
		if err = s.appendToLog(writes[first:i]); err != nil {
			return err
		}
		if err = s.startGeneration(w, snapshot); err != nil {
			return err
		}
		first = i + 1
	}
	return s.appendToLog(writes[first:])
}

// Close closes the log file. All saved writes are durable already.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

// appendToLog appends one frame with all writes to the log file and syncs it.
func (s *Store) appendToLog(writes []ledger.Persist) error {
	if len(writes) == 0 {
		return nil
	}
	if s.file == nil {
		return errors.New("append to log file: disk not initialized with a snapshot")
	}
	var entries []ledger.Entry
	for _, w := range writes {
		entries = mergeEntries(entries, w.Entries())
	}
	s.hardState = writes[len(writes)-1].HardState()
	if err := s.writeFrame(s.file, entries); err != nil {
		return err
	}
	return s.file.Sync()
}

// mergeEntries returns entries with added appended, which replaces entries with the same or a higher index.
func mergeEntries(entries, added []ledger.Entry) []ledger.Entry {
	if len(added) == 0 {
		return entries
	}
	n := len(entries)
	for n > 0 && entries[n-1].Index() >= added[0].Index() {
		n--
	}
	return append(entries[:n:n], added...)
}

func (s *Store) writeFrame(f File, entries []ledger.Entry) error {
	payload, err := cbor.Marshal(encodedFrame{
		Identity: string(s.hardState.Identity()), Term: s.hardState.Term(), Vote: string(s.hardState.Vote()),
		Entries: EncodeEntries(entries),
	})
	if err != nil {
		return err
	}
	s.sequence++
	_, err = f.Write(appendFrame(make([]byte, 0, headerBytes+len(payload)), s.sequence, payload))
	return err
}

// startGeneration writes a snapshot and the log after it as a new generation. The snapshot of a leader may contradict
// the old log file, so both are replaced by one rename.
func (s *Store) startGeneration(w ledger.Persist, snapshot ledger.Snapshot) (err error) {
	next := s.generation + 1
	s.hardState = w.HardState()
	payload, err := cbor.Marshal(EncodeSnapshot(snapshot))
	if err != nil {
		return err
	}
	if _, err = s.createFile(fmt.Sprintf(snapshotNameFormat, next), func(f File) error {
		_, err := f.Write(appendFrame(nil, next, payload))
		return err
	}); err != nil {
		return err
	}
	f, err := s.createFile(fmt.Sprintf(logNameFormat, next), func(f File) error { return s.writeFrame(f, w.Entries()) })
	if err != nil {
		return err
	}
	if s.file != nil {
		if err = s.file.Close(); err != nil {
			return err
		}
		for _, format := range []string{logNameFormat, snapshotNameFormat} {
			if err = s.disk.Remove(fmt.Sprintf(format, s.generation)); err != nil {
				return err
			}
		}
	}
	s.file, s.generation = f, next
	return nil
}

// createFile writes and syncs a file under a temporary name, renames it and syncs the folder.
func (s *Store) createFile(name string, writeContent func(File) error) (f File, err error) {
	f, err = s.disk.Create(name + temporarySuffix)
	if err != nil {
		return nil, err
	}
	if err = writeContent(f); err != nil {
		return nil, err
	}
	if err = f.Sync(); err != nil {
		return nil, err
	}
	if err = s.disk.Rename(name+temporarySuffix, name); err != nil {
		return nil, err
	}
	return f, s.disk.SyncFolder()
}
