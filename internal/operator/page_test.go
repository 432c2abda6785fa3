package operator_test

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/declaration"
	"rosemarywind.example/rosemarywind/internal/operator"
	"rosemarywind.example/rosemarywind/internal/settings"
	"rosemarywind.example/rosemarywind/internal/telemetry"
)

var update = flag.Bool("update", false, "write the tables of docs/OPERATIONS.md")

// Guards against an operations page whose tables differ from the checked settings, or that lacks a command or a metric.
func TestOperationsPage(t *testing.T) {
	file := filepath.Join("..", "..", "docs", "OPERATIONS.md")
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	page := string(data)
	tables := map[string]string{"defaults": declaration.Reference()}
	for _, r := range settings.Roles() {
		tables[string(r)] = settings.Reference(r)
	}
	for name, table := range tables {
		if *update {
			page = replaceTable(t, page, name, table)
		}
		t.Run(name, func(t *testing.T) { assert.Contains(t, page, table, "run this test with -update") })
	}
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(page), 0o600))
	}
	t.Run("commands", func(t *testing.T) {
		for _, c := range operator.Commands() {
			assert.Contains(t, page, "`"+c.Name)
		}
	})
	t.Run("metrics and log lines", func(t *testing.T) {
		for name := range telemetry.NewRegistry().Values() {
			assert.Contains(t, page, "`"+name+"`")
		}
		for _, name := range []string{telemetry.KeyExpiryMetric, telemetry.KeyFailureMessage, telemetry.TraceFailureMessage} {
			assert.Contains(t, page, "`"+name+"`")
		}
	})
	t.Run("example of a declaration", func(t *testing.T) {
		example := regexp.MustCompile("(?s)```toml\n(.*?)```").FindStringSubmatch(page)
		require.Len(t, example, 2)
		_, err := declaration.Parse("example", []byte(example[1]))
		assert.NoError(t, err)
	})
}

func replaceTable(t *testing.T, page, name, table string) string {
	t.Helper()
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	block := regexp.MustCompile("(?s)" + begin + ".*?" + end)
	require.True(t, block.MatchString(page), name)
	return block.ReplaceAllLiteralString(page, begin+table+end)
}
