package document_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemarywind.example/rosemarywind/internal/document"
	"rosemarywind.example/rosemarywind/internal/fuzzing"
)

func TestMain(m *testing.M) { fuzzing.Main(m, fuzzing.NoSteps) }

// Guards against a problem that is reported with the wrong line.
func TestLine(t *testing.T) {
	d := parse(t, "a.b = 1\r\n\"q\\\"x\" = 2\n[c]\nd = {e = 1,\n f = 2}\n[[g]]\nh = 1\n[[g]]\nh = 2\n[[g.i]]\nj = 3\n[g.k]\nl = 4\nm = [{n = 1},\n {n = 2}]\n")
	for path, line := range map[string]int{
		"a.b": 1, "q\"x": 2, "c": 3, "c.d": 4, "c.d.e": 4, "c.d.f": 5, "g[0].h": 7, "g[1].h": 9,
		"g[1].i[0].j": 11, "g[1].k.l": 13, "g[1].k.m[1].n": 15, "c.missing": 3, "missing": 0,
	} {
		t.Run(path, func(t *testing.T) { assert.Equal(t, line, d.Line(path)) })
	}
}

// Guards against a text that makes the parser panic or run out of memory, and a key of a valid text without a line.
func TestParseAnything(t *testing.T) {
	fragments := []string{"a", "b", ".", "=", " = 1", "[", "]", "[[", "]]", "{", "}", ",", "\n", "\r\n", "\"", "'", "\\", "\"\\u0041\"", "#", "'''", "\"\"\"", "\xff", "\x00", "1e9", "nan"}
	t.Run("fragments", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			assertParsed(r, strings.Join(rapid.SliceOfN(rapid.SampledFrom(fragments), 0, 30).Draw(r, "text"), ""))
		})
	})
	t.Run("bytes", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) { assertParsed(r, string(rapid.SliceOf(rapid.Byte()).Draw(r, "text"))) })
	})
	t.Run("deep", func(t *testing.T) {
		assertParsed(t, "a = "+strings.Repeat("[", 100000))
		assertParsed(t, strings.Repeat("a.", 50000)+"a = 1")
		assertParsed(t, "["+strings.Repeat("a.", 50000)+"a]\n")
	})
	t.Run("large", func(t *testing.T) {
		_, err := document.Parse("d.toml", make([]byte, 9<<20))
		assert.ErrorContains(t, err, "allowed: 8388608")
	})
}

// Guards against kinds that refuse a value at the ends of their range or accept one beyond.
func TestConvert(t *testing.T) {
	t.Run("integer", func(t *testing.T) {
		k := document.Integer(1, 3)
		assertValues(t, k, int64(1), int64(3))
		assertRefused(t, k, int64(0), int64(4), 2.0, "2", true)
	})
	t.Run("number", func(t *testing.T) {
		assertValues(t, document.Number(0, 1), int64(1), 0.5)
		assertRefused(t, document.Number(0, 1), -0.1, 1.1, "1")
	})
	t.Run("duration", func(t *testing.T) {
		k := document.Duration(time.Second, time.Minute)
		assertValues(t, k, "1s", "60s", "1m")
		assertRefused(t, k, "999ms", "61s", "-1s", "5", "", int64(5))
	})
	t.Run("address", func(t *testing.T) {
		assertValues(t, document.Address(), "127.0.0.1:1", "[::1]:65535")
		assertRefused(t, document.Address(), "127.0.0.1:0", "0.0.0.0:1", "[::]:1", "127.0.0.1", "h:1", "127.0.0.1:65536", ":1")
		assertValues(t, document.Listen(), "127.0.0.1:0", "0.0.0.0:1")
	})
	t.Run("URL", func(t *testing.T) {
		assertValues(t, document.HostURL(), "http://127.0.0.1:1", "http://[::1]:1/")
		assertRefused(t, document.HostURL(), "https://127.0.0.1:1", "http://h:1", "http://127.0.0.1", "http://127.0.0.1:1/x", "http://u:p@127.0.0.1:1", "http://127.0.0.1:1?x")
		assertValues(t, document.URL(), "https://collector.example/v1")
		assertRefused(t, document.URL(), "ftp://127.0.0.1", "x", "http://")
	})
	t.Run("members", func(t *testing.T) {
		assertValues(t, document.Members(2), map[string]any{"a": "127.0.0.1:1", "b": "127.0.0.1:2"})
		assertRefused(t, document.Members(2), map[string]any{}, map[string]any{"a": "127.0.0.1:1", "b": "127.0.0.1:1"},
			map[string]any{"a": "127.0.0.1:1", "b": "127.0.0.1:2", "c": "127.0.0.1:3"}, map[string]any{"a/b": "127.0.0.1:1"}, map[string]any{"a": int64(1)}, "a")
	})
	t.Run("texts", func(t *testing.T) {
		assertRefused(t, document.Text(), "a\nb", int64(1))
		assertRefused(t, document.Name(), "", "a b", strings.Repeat("a", 64))
		assertRefused(t, document.Choice("a", "b"), "c", "")
		assertRefused(t, document.Addresses(), "127.0.0.1:1", []any{int64(1)}, []any{"127.0.0.1:1", "127.0.0.1:1"})
		assertRefused(t, document.Digests(), []any{"sha256:00"}, []any{"sha256:" + strings.Repeat("0A", 32)})
	})
}

func parse(t *testing.T, text string) *document.Document {
	t.Helper()
	d, err := document.Parse("d.toml", []byte(text))
	require.NoError(t, err)
	return d
}

func assertParsed(t require.TestingT, text string) {
	d, err := document.Parse("d.toml", []byte(text))
	if err != nil {
		var problems *document.Problems
		require.ErrorAs(t, err, &problems)
		return
	}
	for _, name := range d.Root().Keys() {
		require.Positive(t, d.Line(d.Root().PathOf(name)), "%q in %q", name, text)
	}
}

func assertValues(t *testing.T, k document.Kind, list ...any) {
	t.Helper()
	for _, raw := range list {
		_, err := document.Convert(k, raw)
		assert.NoError(t, err)
	}
}

func assertRefused(t *testing.T, k document.Kind, list ...any) {
	t.Helper()
	for _, raw := range list {
		_, err := document.Convert(k, raw)
		assert.ErrorContains(t, err, document.Allowed(k), "%v", raw)
	}
}
