package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/standin"
)

// scriptsAtOnce bounds the processes: one script runs up to a dozen of them.
const scriptsAtOnce = "4"

// TestMain runs this binary as one of the commands when a script starts it under the command's name.
func TestMain(m *testing.M) {
	switch filepath.Base(os.Args[0]) {
	case "rosemarywind":
		main()
	case "standin":
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		err := standin.Command().Run(ctx, os.Args)
		stop()
		if err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	flag.Parse()
	_ = flag.Set("test.parallel", scriptsAtOnce)
	os.Exit(m.Run())
}

// Each script of testdata names the promise that it guards in its first lines.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	bin := commands(t)
	red := knownRed(t)
	for i, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txtar")
		t.Run(name, func(t *testing.T) {
			if red[name] {
				t.Skip("listed in KNOWN-RED.txt")
			}
			t.Parallel()
			newScript(t, f, bin, i+1).run()
		})
	}
}

// commands returns a folder in which this binary has the names of the commands.
func commands(t testing.TB) (folder string) {
	t.Helper()
	self, err := os.Executable()
	require.NoError(t, err)
	folder = t.TempDir()
	for _, name := range []string{"rosemarywind", "standin"} {
		require.NoError(t, os.Symlink(self, filepath.Join(folder, name)))
	}
	return folder
}

// knownRed returns the tests that KNOWN-RED.txt lists; ROSEMARYWIND_RED=run runs them all the same.
func knownRed(t *testing.T) (listed map[string]bool) {
	t.Helper()
	listed = map[string]bool{}
	data, err := os.ReadFile("../../KNOWN-RED.txt")
	if os.IsNotExist(err) || os.Getenv("ROSEMARYWIND_RED") == "run" {
		return listed
	}
	require.NoError(t, err)
	for line := range strings.Lines(string(data)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "test: TestScenarios/"); ok {
			listed[name] = true
		}
	}
	return listed
}
