package storage

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Open recovers the state of a member from a disk. The identity is empty if the disk was never initialized. If synced
// data has changed, the error is a DamageError.
func Open(disk Disk) (s *Store, saved ledger.PersistentState, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("recover the ledger: %w", err)
		}
	}()
	s = &Store{disk: disk}
	names, err := disk.List()
	if err != nil {
		return nil, saved, err
	}
	for _, n := range names {
		if number, ok := strings.CutPrefix(n, "log-"); ok {
			// A temporary file name does not parse as a number and yields generation 0.
			generation, _ := strconv.ParseUint(number, 10, 64)
			s.generation = max(s.generation, generation)
		}
	}
	// An earlier process may have ended between a rename and the sync of the folder.
	if err = disk.SyncFolder(); err != nil {
		return nil, saved, err
	}
	if err = s.removeOtherGenerations(names); err != nil {
		return nil, saved, err
	}
	if s.generation == 0 {
		return s, saved, nil
	}
	snapshot, err := s.recoverSnapshot()
	if err != nil {
		return nil, saved, err
	}
	entries, err := s.recoverLog(snapshot)
	if err != nil {
		return nil, saved, err
	}
	return s, ledger.NewPersistentState(s.hardState, snapshot, entries), nil
}

// removeOtherGenerations removes the files of other generations, which remain after a crash between two renames.
func (s *Store) removeOtherGenerations(names []string) error {
	keep := []string{fmt.Sprintf(logNameFormat, s.generation), fmt.Sprintf(snapshotNameFormat, s.generation)}
	for _, n := range names {
		isStoreFile := strings.HasPrefix(n, "log-") || strings.HasPrefix(n, "snapshot-")
		if !isStoreFile || slices.Contains(keep, n) {
			continue
		}
		if err := s.disk.Remove(n); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) recoverSnapshot() (snapshot ledger.Snapshot, err error) {
	name := fmt.Sprintf(snapshotNameFormat, s.generation)
	data, err := s.disk.Read(name)
	if err != nil {
		return snapshot, err
	}
	sequence, payload, ok := parseFrame(data)
	if !ok || sequence != s.generation || len(data) != headerBytes+len(payload) {
		return snapshot, &DamageError{file: name, detail: "the snapshot's checksum does not match"}
	}
	var encoded EncodedSnapshot
	if err = decodeMode.Unmarshal(payload, &encoded); err != nil {
		return snapshot, &DamageError{file: name, detail: err.Error()}
	}
	return DecodeSnapshot(encoded), nil
}

// recoverLog reads all frames of the log file, truncates a torn last one and opens the file for appending.
func (s *Store) recoverLog(snapshot ledger.Snapshot) (entries []ledger.Entry, err error) {
	name := fmt.Sprintf(logNameFormat, s.generation)
	data, err := s.disk.Read(name)
	if err != nil {
		return nil, err
	}
	offset := 0
	for offset < len(data) {
		sequence, payload, ok := parseFrame(data[offset:])
		if !ok || offset > 0 && sequence != s.sequence+1 {
			// The first frame was synced under the temporary name, so it cannot be torn.
			if offset == 0 || hasLaterFrame(data[offset:], s.sequence+1) {
				return nil, &DamageError{
					file: name, offset: int64(offset), detail: "a frame's checksum does not match, and it is not the last one",
				}
			}
			break
		}
		if entries, err = s.replay(payload, snapshot, entries); err != nil {
			return nil, &DamageError{file: name, offset: int64(offset), detail: err.Error()}
		}
		s.sequence = sequence
		offset += headerBytes + len(payload)
	}
	if offset == 0 {
		return nil, &DamageError{file: name, detail: "the file is empty"}
	}
	if s.file, err = s.disk.Open(name, int64(offset)); err != nil {
		return nil, err
	}
	return entries, s.file.Sync()
}

// replay sets the hard state from a frame and returns entries extended or overwritten with those of the frame.
func (s *Store) replay(payload []byte, snapshot ledger.Snapshot, entries []ledger.Entry) ([]ledger.Entry, error) {
	var encoded encodedFrame
	if err := decodeMode.Unmarshal(payload, &encoded); err != nil {
		return nil, err
	}
	added, err := DecodeEntries(encoded.Entries)
	if err != nil {
		return nil, err
	}
	s.hardState = ledger.NewHardState(ledger.MemberID(encoded.Identity), encoded.Term, ledger.MemberID(encoded.Vote))
	if len(added) == 0 {
		return entries, nil
	}
	last := snapshot.Index() + uint64(len(entries))
	if at := added[0].Index(); at <= snapshot.Index() || at > last+1 {
		return nil, fmt.Errorf("entry %d does not follow entry %d", at, last)
	}
	return append(entries[:added[0].Index()-snapshot.Index()-1], added...), nil
}
