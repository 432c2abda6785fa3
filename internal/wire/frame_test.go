package wire

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a peer that makes a process allocate what the frames on its many streams only announce.
func TestAnnouncedFrame(t *testing.T) {
	const streams, perStream = 1000, 16 << 10
	header := binary.BigEndian.AppendUint32(nil, 60_000)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range streams {
		_, err := ReadCall(bytes.NewReader(header))
		require.Error(t, err)
	}
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(streams*perStream))
}

// Guards against a frame that is read wrongly because it arrives in pieces or in a buffer that has grown.
func TestReadData(t *testing.T) {
	for _, size := range []int{0, 1, maxPreallocatedBytes, maxPreallocatedBytes + 1, 2 * maxPreallocatedBytes, 100_000} {
		want := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		data, err := readData(iotest.HalfReader(bytes.NewReader(want)), size)
		require.NoError(t, err)
		assert.True(t, bytes.Equal(want, data), size)
		_, err = readData(bytes.NewReader(want), size+1)
		assert.Error(t, err, size)
	}
}
