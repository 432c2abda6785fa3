package wire

import (
	"encoding/binary"
	"fmt"

	"rosemarywind.example/rosemarywind/internal/registry"
)

// sealedBytes is the length of a sealed record: two digests, the number (8 bytes), the time (4), the status (2) and
// whether the request ran (1).
const sealedBytes = 2*registry.DigestBytes + 8 + 4 + 2 + 1

// encodeArchiveRun concatenates the records at a fixed length; as CBOR maps, they would take twice as many bytes.
func encodeArchiveRun(records []registry.ArchivedClaim) []byte {
	data := make([]byte, 0, len(records)*sealedBytes)
	for _, s := range records {
		key, fingerprint := s.Key(), s.Fingerprint()
		data = append(append(data, key[:]...), fingerprint[:]...)
		data = binary.BigEndian.AppendUint64(data, s.AttemptNumber())
		data = binary.BigEndian.AppendUint32(data, s.EndedAt())
		data = binary.BigEndian.AppendUint16(data, s.Status())
		ran := byte(0)
		if s.Ran() {
			ran = 1
		}
		data = append(data, ran)
	}
	return data
}

func decodeArchiveRun(data []byte) (records []registry.ArchivedClaim, err error) {
	if len(data)%sealedBytes != 0 {
		return nil, fmt.Errorf("archive of %d bytes is not a multiple of the record length of %d bytes", len(data), sealedBytes)
	}
	records = make([]registry.ArchivedClaim, 0, len(data)/sealedBytes)
	for ; len(data) > 0; data = data[sealedBytes:] {
		key, rest := registry.Digest(data[:registry.DigestBytes]), data[registry.DigestBytes:]
		fingerprint, rest := registry.Digest(rest[:registry.DigestBytes]), rest[registry.DigestBytes:]
		records = append(records, registry.NewArchivedClaim(key, fingerprint, binary.BigEndian.Uint64(rest),
			binary.BigEndian.Uint32(rest[8:]), binary.BigEndian.Uint16(rest[12:]), rest[14] == 1))
	}
	return records, nil
}
