package storage

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Open recovers what a disk holds. The identity is empty on a disk that was never
// founded. Synced data that was changed is a DamageError.
func Open(disk Disk) (s *Store, saved ledger.Saved, err error) {
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
			// A temporary name does not parse and counts as generation 0.
			generation, _ := strconv.ParseUint(number, 10, 64)
			s.generation = max(s.generation, generation)
		}
	}
	// A process may have ended between a rename and the sync of the folder.
	if err = disk.SyncFolder(); err != nil {
		return nil, saved, err
	}
	if err = s.clean(names); err != nil {
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
	return s, ledger.NewSaved(s.hard, snapshot, entries), nil
}

// clean removes the files of other generations, which a crash between two renames has left.
func (s *Store) clean(names []string) error {
	keep := []string{fmt.Sprintf(logName, s.generation), fmt.Sprintf(snapshotName, s.generation)}
	for _, n := range names {
		ours := strings.HasPrefix(n, "log-") || strings.HasPrefix(n, "snapshot-")
		if !ours || slices.Contains(keep, n) {
			continue
		}
		if err := s.disk.Remove(n); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) recoverSnapshot() (snapshot ledger.Snapshot, err error) {
	name := fmt.Sprintf(snapshotName, s.generation)
	data, err := s.disk.Read(name)
	if err != nil {
		return snapshot, err
	}
	sequence, payload, ok := parseFrame(data)
	if !ok || sequence != s.generation || len(data) != headerBytes+len(payload) {
		return snapshot, &DamageError{file: name, detail: "the snapshot's checksum does not match"}
	}
	var encoded EncodedSnapshot
	if err = decoding.Unmarshal(payload, &encoded); err != nil {
		return snapshot, &DamageError{file: name, detail: err.Error()}
	}
	return DecodeSnapshot(encoded), nil
}

// recoverLog reads all frames of the log, cuts off a torn last one and opens the file for more.
func (s *Store) recoverLog(snapshot ledger.Snapshot) (entries []ledger.Entry, err error) {
	name := fmt.Sprintf(logName, s.generation)
	data, err := s.disk.Read(name)
	if err != nil {
		return nil, err
	}
	offset := 0
	for offset < len(data) {
		sequence, payload, ok := parseFrame(data[offset:])
		if !ok || offset > 0 && sequence != s.sequence+1 {
			// The first frame was synced before the file got its name, so that it cannot be torn.
			if offset == 0 || laterFrame(data[offset:], s.sequence+1) {
				return nil, &DamageError{file: name, offset: int64(offset), detail: "a frame's checksum does not match, and it is not the last one"}
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

// replay takes over the hard state of a frame and puts its entries behind those before it.
func (s *Store) replay(payload []byte, snapshot ledger.Snapshot, entries []ledger.Entry) ([]ledger.Entry, error) {
	var encoded encodedWrite
	if err := decoding.Unmarshal(payload, &encoded); err != nil {
		return nil, err
	}
	added, err := DecodeEntries(encoded.Entries)
	if err != nil {
		return nil, err
	}
	s.hard = ledger.NewHardState(ledger.MemberID(encoded.Identity), encoded.Term, ledger.MemberID(encoded.Vote))
	if len(added) == 0 {
		return entries, nil
	}
	last := snapshot.Index() + uint64(len(entries))
	if at := added[0].Index(); at <= snapshot.Index() || at > last+1 {
		return nil, fmt.Errorf("entry %d does not follow entry %d", at, last)
	}
	return append(entries[:added[0].Index()-snapshot.Index()-1], added...), nil
}
