package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header followed by a payload. Each sync covers exactly one frame, and the next frame is written only
// after that sync. An invalid frame that is followed by a valid one is therefore damage to synced data, whereas an
// invalid last frame is a write torn by a power loss.
const (
	frameMagic  = "RWLF"
	headerBytes = 24
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends an encoded frame to a buffer. Sequence numbers grow by one from frame to frame.
func appendFrame(to []byte, sequence uint64, payload []byte) []byte {
	start := len(to)
	to = append(to, frameMagic...)
	to = binary.LittleEndian.AppendUint64(to, sequence)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(payload)))
	to = binary.LittleEndian.AppendUint32(to, crc32.Checksum(payload, castagnoliTable))
	to = binary.LittleEndian.AppendUint32(to, crc32.Checksum(to[start:], castagnoliTable))
	return append(to, payload...)
}

// parseFrame returns the frame at the start of data; ok is false if it is incomplete or a checksum does not match.
func parseFrame(data []byte) (sequence uint64, payload []byte, ok bool) {
	if len(data) < headerBytes || string(data[:4]) != frameMagic {
		return 0, nil, false
	}
	if crc32.Checksum(data[:20], castagnoliTable) != binary.LittleEndian.Uint32(data[20:]) {
		return 0, nil, false
	}
	size := uint64(binary.LittleEndian.Uint32(data[12:]))
	if uint64(len(data)-headerBytes) < size {
		return 0, nil, false
	}
	payload = data[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoliTable) != binary.LittleEndian.Uint32(data[16:]) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(data[4:]), payload, true
}

// hasLaterFrame reports whether data contains a valid frame with a sequence number greater than above, at any offset.
func hasLaterFrame(data []byte, above uint64) bool {
	for {
		i := bytes.Index(data, []byte(frameMagic))
		if i < 0 {
			return false
		}
		if sequence, _, ok := parseFrame(data[i:]); ok && sequence > above {
			return true
		}
		data = data[i+1:]
	}
}
