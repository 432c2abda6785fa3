package wire_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// Guards against a message that is sent in several packets because its frames and its body are written separately.
func TestForwardWrites(t *testing.T) {
	for name, c := range map[string]struct{ bytes, writes int }{
		"no body": {0, 1}, "small body": {6000, 1}, "large body": {100_000, 2},
	} {
		body := bytes.Repeat([]byte("b"), c.bytes)
		t.Run("request with "+name, func(t *testing.T) {
			now := time.Now()
			r := request.New("r1", "previews", http.MethodPost, "/a", request.WithBody(nil, body),
				request.WithDeadline(now.Add(time.Second)))
			w := assertWrites(t, c.writes, func(w io.Writer) error {
				return wire.WriteForward(w, "", wire.NewForward(r, 1), now)
			})
			o, err := wire.ReadOpening(w)
			require.NoError(t, err)
			assert.Equal(t, wire.KindForward, o.Kind())
			f, err := wire.ReadForward(w, now)
			require.NoError(t, err)
			got, err := f.ReadBody(w, c.bytes)
			require.NoError(t, err)
			assert.Equal(t, body, got.Body())
		})
		t.Run("answer with "+name, func(t *testing.T) {
			w := assertWrites(t, c.writes, func(w io.Writer) error {
				return wire.WriteAnswer(w, "r1", request.NewAnswered(http.StatusOK, nil, body), 0)
			})
			got, _, err := wire.ReadAnswer(w, "r1", c.bytes)
			require.NoError(t, err)
			assert.Equal(t, request.NewAnswered(http.StatusOK, nil, body), got)
		})
	}
}

// Guards against headers that lose a value when they are encoded and decoded, and against accepting a name without a
// value.
func TestHeaders(t *testing.T) {
	for name, h := range map[string]request.Headers{
		"none": nil, "several values": {"A": {"1", "2", "3"}, "B": {""}, "C": {"4"}},
	} {
		t.Run(name, func(t *testing.T) {
			want := request.NewAnswered(http.StatusOK, h, []byte("b"))
			var b bytes.Buffer
			require.NoError(t, wire.WriteAnswer(&b, "r1", want, 0))
			got, _, err := wire.ReadAnswer(&b, "r1", 1)
			require.NoError(t, err)
			assert.Equal(t, want, got)
		})
	}
	t.Run("odd number", func(t *testing.T) {
		data, err := cbor.Marshal(map[int]any{1: "answered", 2: "r1", 3: http.StatusOK, 4: []string{"A", "1", "B"}, 10: uint64(emptyDigest)})
		require.NoError(t, err)
		frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
		_, _, err = wire.ReadAnswer(bytes.NewReader(frame), "r1", 1)
		assert.ErrorContains(t, err, "want an even number")
	})
}

// emptyDigest is the xxHash64 digest of an empty body.
const emptyDigest = 0xef46db3751d8e999

// countingWriter is a buffer that counts its writes.
type countingWriter struct {
	bytes.Buffer
	writes int
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	c.writes++
	return c.Buffer.Write(p)
}

func assertWrites(t *testing.T, want int, write func(io.Writer) error) io.Reader {
	t.Helper()
	var c countingWriter
	require.NoError(t, write(&c))
	assert.Equal(t, want, c.writes)
	return &c.Buffer
}
