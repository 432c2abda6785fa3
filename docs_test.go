package rosemarywind

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark)[A-Z]\w*)\(`)
	// named matches the test functions, paths and source files that a page names.
	named = regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w*|\b(?:internal|pkg|cmd|platform)/[\w./-]*\w|\w[\w./-]*\.(?:go|txtar)\b`)
)

// TestDocs guards against pages that name a test, a benchmark, a path or a source file that the repository does not have.
func TestDocs(t *testing.T) {
	pages, known := requireTree(t)
	for _, page := range pages {
		t.Run(page, func(t *testing.T) {
			text, err := os.ReadFile(page)
			require.NoError(t, err)
			for _, name := range named.FindAllString(string(text), -1) {
				assert.True(t, known[name], "the repository has no %s", name)
			}
		})
	}
}

// requireTree returns the pages and what they may name: test functions, paths, and files by their names alone.
func requireTree(t *testing.T) (pages []string, known map[string]bool) {
	t.Helper()
	pages, known = []string{"README.md", "CONTRIBUTING.md"}, map[string]bool{}
	require.NoError(t, filepath.WalkDir(".", func(path string, e fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case e.IsDir() && path != "." && strings.HasPrefix(path, "."):
			return filepath.SkipDir
		case strings.HasPrefix(path, "docs/") && filepath.Ext(path) == ".md":
			pages = append(pages, path)
		case strings.HasSuffix(path, "_test.go"):
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			for _, f := range testFunc.FindAllStringSubmatch(string(text), -1) {
				known[f[1]] = true
			}
		}
		known[path], known[e.Name()] = true, true
		return nil
	}))
	return pages, known
}
