package registry

import (
	"bytes"
	"crypto/sha256"
	"iter"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// DigestBytes is the length of a Digest. With 2 million keys, two of them share a digest of 16 bytes with a
// probability of 2^-87, and then the second request is refused and does not run.
const DigestBytes = 16

// Digest is the start of the SHA-256 digest of a key or a fingerprint.
type Digest [DigestBytes]byte

func digestOf(text string) (d Digest) {
	sum := sha256.Sum256([]byte(text))
	copy(d[:], sum[:])
	return d
}

// ArchivedClaim is the record of an attempt that ran or may have run, without its answer, in 48 bytes without a pointer.
type ArchivedClaim struct {
	key         Digest
	fingerprint Digest
	number      uint64
	at          uint32
	status      uint16
	ran         bool
}

// NewArchivedClaim returns a record; at is in seconds since 1970.
func NewArchivedClaim(key, fingerprint Digest, number uint64, at uint32, status uint16, ran bool) ArchivedClaim {
	return ArchivedClaim{key: key, fingerprint: fingerprint, number: number, at: at, status: status, ran: ran}
}

// Key returns the digest of the workspace and the key.
func (s ArchivedClaim) Key() Digest { return s.key }

// Fingerprint returns the digest of the request's fingerprint.
func (s ArchivedClaim) Fingerprint() Digest { return s.fingerprint }

// AttemptNumber returns the number of the attempt.
func (s ArchivedClaim) AttemptNumber() uint64 { return s.number }

// EndedAt returns when the attempt ended, in seconds since 1970, rounded up.
func (s ArchivedClaim) EndedAt() uint32 { return s.at }

// Status returns the HTTP status of the endpoint's answer, 0 without one.
func (s ArchivedClaim) Status() uint16 { return s.status }

// Ran reports whether the attempt ran, and not only may have run.
func (s ArchivedClaim) Ran() bool { return s.ran }

// seal returns the record without the answer; ok is false for an attempt that is open or may be repeated.
func (c Claim) seal() (s ArchivedClaim, ok bool) {
	o := c.ending.outcome
	if o != outcome.Ran && o != outcome.MayHaveRun {
		return ArchivedClaim{}, false
	}
	at := uint32(max(0, c.at.Add(time.Second-time.Nanosecond).Unix()))
	return NewArchivedClaim(digestOf(claimKey(c.workspace, c.key)), digestOf(c.fingerprint), c.number, at,
		uint16(c.ending.status), o == outcome.Ran), true
}

// claim returns the record as a resend sees it; its fingerprint is empty if the resend has another one.
func (s ArchivedClaim) claim(k ClaimKey) Claim {
	o := outcome.MayHaveRun
	if s.ran {
		o = outcome.Ran
	}
	c := Claim{workspace: k.workspace, key: k.key, number: s.number, at: time.Unix(int64(s.at), 0)}
	if digestOf(k.fingerprint) == s.fingerprint {
		c.fingerprint = k.fingerprint
	}
	c.ending = NewAttemptResult(o, int(s.status))
	return c
}

// maxRun bounds what one change copies to 3 MB; a day of 20 keyed requests a second makes 27 runs to search.
const maxRun = 64 << 10

// run is a list of records in the order of their keys.
type run struct {
	records []ArchivedClaim
	oldest  uint32
}

// newRun returns a run of records that are in order.
func newRun(records []ArchivedClaim) run {
	r := run{records: records, oldest: ^uint32(0)}
	for _, s := range records {
		r.oldest = min(r.oldest, s.at)
	}
	return r
}

func compare(x, y ArchivedClaim) int { return bytes.Compare(x.key[:], y.key[:]) }

// merge returns the records of two lists that are in order, which is faster than sorting them again.
func merge(x, y []ArchivedClaim) []ArchivedClaim {
	merged := make([]ArchivedClaim, 0, len(x)+len(y))
	for len(x) > 0 && len(y) > 0 {
		if compare(x[0], y[0]) <= 0 {
			merged, x = append(merged, x[0]), x[1:]
		} else {
			merged, y = append(merged, y[0]), y[1:]
		}
	}
	return append(append(merged, x...), y...)
}

// Archive holds sealed records, the oldest runs first; it is immutable.
type Archive struct {
	runs []run
}

// NewArchive returns an archive of the given runs, whose records it takes over.
func NewArchive(runs [][]ArchivedClaim) (a Archive) {
	for _, r := range runs {
		slices.SortFunc(r, compare)
		a.runs = append(a.runs, newRun(r))
	}
	return a
}

// Len returns the number of records.
func (a Archive) Len() (n int) {
	for _, r := range a.runs {
		n += len(r.records)
	}
	return n
}

// Segments yields the lists of records, which the caller must not modify.
func (a Archive) Segments() iter.Seq[[]ArchivedClaim] {
	return func(yield func([]ArchivedClaim) bool) {
		for _, r := range a.runs {
			if !yield(r.records) {
				return
			}
		}
	}
}

func (a Archive) find(key Digest) (s ArchivedClaim, ok bool) {
	for _, r := range slices.Backward(a.runs) {
		i, ok := slices.BinarySearchFunc(r.records, key, func(s ArchivedClaim, k Digest) int { return bytes.Compare(s.key[:], k[:]) })
		if ok {
			return r.records[i], true
		}
	}
	return ArchivedClaim{}, false
}

// with returns the archive with further records, in the latest run while that is small.
func (a Archive) with(records []ArchivedClaim) Archive {
	if len(records) == 0 {
		return a
	}
	slices.SortFunc(records, compare)
	var latest []ArchivedClaim
	runs := slices.Clone(a.runs)
	if n := len(runs); n > 0 && len(runs[n-1].records)+len(records) <= maxRun {
		latest, runs = runs[n-1].records, runs[:n-1]
	}
	return Archive{runs: append(runs, newRun(merge(latest, records)))}
}

// since returns the archive without the records before the given moment.
func (a Archive) since(before time.Time) Archive {
	var runs []run
	for _, r := range a.runs {
		if time.Unix(int64(r.oldest), 0).Before(before) {
			r = newRun(slices.DeleteFunc(slices.Clone(r.records), func(s ArchivedClaim) bool {
				return time.Unix(int64(s.at), 0).Before(before)
			}))
		}
		if len(r.records) > 0 {
			runs = append(runs, r)
		}
	}
	return Archive{runs: runs}
}
