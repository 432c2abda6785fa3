package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header followed by a payload. All that one sync makes durable is one
// frame, and the next frame is written only after that sync. A damaged frame with a
// valid one after it is therefore damage of synced data, and a damaged last frame is
// a write that a power loss has torn.
const (
	frameMagic  = "RWLF"
	headerBytes = 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame with a sequence number that grows by one from frame to frame.
func appendFrame(to []byte, sequence uint64, payload []byte) []byte {
	start := len(to)
	to = append(to, frameMagic...)
	to = binary.LittleEndian.AppendUint64(to, sequence)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(payload)))
	to = binary.LittleEndian.AppendUint32(to, crc32.Checksum(payload, castagnoli))
	to = binary.LittleEndian.AppendUint32(to, crc32.Checksum(to[start:], castagnoli))
	return append(to, payload...)
}

// parseFrame returns the frame at the start of data, if it is whole.
func parseFrame(data []byte) (sequence uint64, payload []byte, ok bool) {
	if len(data) < headerBytes || string(data[:4]) != frameMagic {
		return 0, nil, false
	}
	if crc32.Checksum(data[:20], castagnoli) != binary.LittleEndian.Uint32(data[20:]) {
		return 0, nil, false
	}
	size := uint64(binary.LittleEndian.Uint32(data[12:]))
	if uint64(len(data)-headerBytes) < size {
		return 0, nil, false
	}
	payload = data[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[16:]) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(data[4:]), payload, true
}

// laterFrame reports whether data holds a whole frame with a sequence number above the given one.
func laterFrame(data []byte, above uint64) bool {
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
