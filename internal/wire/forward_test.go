package wire_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/request"
	"rosemarywind.example/rosemarywind/internal/wire"
)

// Guards against a message that goes out in several packets because its frames and its body are written one by one.
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

// counted counts the writes to a buffer.
type counted struct {
	bytes.Buffer
	writes int
}

// Write implements io.Writer.
func (c *counted) Write(p []byte) (int, error) {
	c.writes++
	return c.Buffer.Write(p)
}

func assertWrites(t *testing.T, want int, write func(io.Writer) error) io.Reader {
	t.Helper()
	var c counted
	require.NoError(t, write(&c))
	assert.Equal(t, want, c.writes)
	return &c.Buffer
}
