package registry

import (
	"bytes"
	"crypto/sha256"
	"iter"
	"slices"
	"time"

	"rosemarywind.example/rosemarywind/pkg/outcome"
)

// DigestBytes is the length of a Digest. Among 2 million keys, two share a digest of 16 bytes with a probability of
// 2^-87; the second of them is then refused and does not run.
const DigestBytes = 16

// Digest is the SHA-256 digest of a key or a fingerprint, truncated to DigestBytes.
type Digest [DigestBytes]byte

func digestOf(text string) (d Digest) {
	sum := sha256.Sum256([]byte(text))
	copy(d[:], sum[:])
	return d
}

// ArchivedClaim is the record of an attempt that ran or may have run, without its response. It takes 48 bytes and holds
// no pointer.
type ArchivedClaim struct {
	key           Digest
	fingerprint   Digest
	attemptNumber uint64
	endedAt       uint32
	status        uint16
	ran           bool
}

// NewArchivedClaim returns a record of an attempt that ended at endedAt, in Unix seconds.
func NewArchivedClaim(key, fingerprint Digest, attemptNumber uint64, endedAt uint32, status uint16, ran bool) ArchivedClaim {
	return ArchivedClaim{key: key, fingerprint: fingerprint, attemptNumber: attemptNumber, endedAt: endedAt, status: status, ran: ran}
}

// Key returns the digest of the workspace and the idempotency key.
func (s ArchivedClaim) Key() Digest { return s.key }

// Fingerprint returns the digest of the request's fingerprint.
func (s ArchivedClaim) Fingerprint() Digest { return s.fingerprint }

// AttemptNumber returns the number that the claim was granted.
func (s ArchivedClaim) AttemptNumber() uint64 { return s.attemptNumber }

// EndedAt returns when the attempt ended, in Unix seconds rounded up.
func (s ArchivedClaim) EndedAt() uint32 { return s.endedAt }

// Status returns the HTTP status of the endpoint's response, 0 if there was none.
func (s ArchivedClaim) Status() uint16 { return s.status }

// Ran reports whether the attempt ran; false means that it may have run.
func (s ArchivedClaim) Ran() bool { return s.ran }

// archived returns the record without the response; ok is false for an attempt that is open or may be repeated.
func (c Claim) archived() (s ArchivedClaim, ok bool) {
	o := c.result.outcome
	if o != outcome.Ran && o != outcome.MayHaveRun {
		return ArchivedClaim{}, false
	}
	endedAt := uint32(max(0, c.updatedAt.Add(time.Second-time.Nanosecond).Unix()))
	return NewArchivedClaim(digestOf(claimKey(c.workspace, c.key)), digestOf(c.fingerprint), c.attemptNumber, endedAt,
		uint16(c.result.status), o == outcome.Ran), true
}

// claimFor returns the record as a claim under the key of k; its fingerprint is empty if it differs from that of k.
func (s ArchivedClaim) claimFor(k ClaimKey) Claim {
	o := outcome.MayHaveRun
	if s.ran {
		o = outcome.Ran
	}
	c := Claim{workspace: k.workspace, key: k.key, attemptNumber: s.attemptNumber, updatedAt: time.Unix(int64(s.endedAt), 0)}
	if digestOf(k.fingerprint) == s.fingerprint {
		c.fingerprint = k.fingerprint
	}
	c.result = NewAttemptResult(o, int(s.status))
	return c
}

// maxSegmentRecords limits what one change of the archive copies to 3 MB; 20 keyed requests per second for a day make 27
// segments to search.
const maxSegmentRecords = 64 << 10

// segment is a list of records sorted by key.
type segment struct {
	records   []ArchivedClaim
	oldestEnd uint32 // smallest endedAt of the records, in Unix seconds
}

// newSegment returns a segment of records that are sorted by key.
func newSegment(records []ArchivedClaim) segment {
	g := segment{records: records, oldestEnd: ^uint32(0)}
	for _, s := range records {
		g.oldestEnd = min(g.oldestEnd, s.endedAt)
	}
	return g
}

func compareKeys(x, y ArchivedClaim) int { return bytes.Compare(x.key[:], y.key[:]) }

// mergeSorted returns the records of two sorted lists in order, which is faster than sorting them again.
func mergeSorted(x, y []ArchivedClaim) []ArchivedClaim {
	merged := make([]ArchivedClaim, 0, len(x)+len(y))
	for len(x) > 0 && len(y) > 0 {
		if compareKeys(x[0], y[0]) <= 0 {
			merged, x = append(merged, x[0]), x[1:]
		} else {
			merged, y = append(merged, y[0]), y[1:]
		}
	}
	return append(append(merged, x...), y...)
}

// Archive holds archived claims in segments, the oldest segment first; it is immutable.
type Archive struct {
	segments []segment
}

// NewArchive returns an archive of the given segments; it sorts their records in place and keeps them.
func NewArchive(segments [][]ArchivedClaim) (a Archive) {
	for _, records := range segments {
		slices.SortFunc(records, compareKeys)
		a.segments = append(a.segments, newSegment(records))
	}
	return a
}

// Len returns the number of records in all segments.
func (a Archive) Len() (n int) {
	for _, g := range a.segments {
		n += len(g.records)
	}
	return n
}

// Segments yields the records of each segment, which the caller must not modify.
func (a Archive) Segments() iter.Seq[[]ArchivedClaim] {
	return func(yield func([]ArchivedClaim) bool) {
		for _, g := range a.segments {
			if !yield(g.records) {
				return
			}
		}
	}
}

func (a Archive) find(key Digest) (s ArchivedClaim, ok bool) {
	for _, g := range slices.Backward(a.segments) {
		i, ok := slices.BinarySearchFunc(g.records, key, func(s ArchivedClaim, k Digest) int { return bytes.Compare(s.key[:], k[:]) })
		if ok {
			return g.records[i], true
		}
	}
	return ArchivedClaim{}, false
}

// with returns the archive with further records, which it sorts in place; they join the latest segment if that has at
// most maxSegmentRecords afterwards.
func (a Archive) with(records []ArchivedClaim) Archive {
	if len(records) == 0 {
		return a
	}
	slices.SortFunc(records, compareKeys)
	var latest []ArchivedClaim
	segments := slices.Clone(a.segments)
	if n := len(segments); n > 0 && len(segments[n-1].records)+len(records) <= maxSegmentRecords {
		latest, segments = segments[n-1].records, segments[:n-1]
	}
	return Archive{segments: append(segments, newSegment(mergeSorted(latest, records)))}
}

// dropBefore returns the archive without the records of attempts that ended before the given time.
func (a Archive) dropBefore(before time.Time) Archive {
	var segments []segment
	for _, g := range a.segments {
		if time.Unix(int64(g.oldestEnd), 0).Before(before) {
			g = newSegment(slices.DeleteFunc(slices.Clone(g.records), func(s ArchivedClaim) bool {
				return time.Unix(int64(s.endedAt), 0).Before(before)
			}))
		}
		if len(g.records) > 0 {
			segments = append(segments, g)
		}
	}
	return Archive{segments: segments}
}
