package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"rosemarywind.example/rosemarywind/internal/standin"
)

// maxParallelScripts bounds the number of processes, since one script runs up to a dozen.
const maxParallelScripts = 4

// TestMain runs the commands instead of the tests when a script starts the test binary under the name of a command.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"rosemarywind": main, "standin": runStandin})
}

func runStandin() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := standin.Command().Run(ctx, os.Args)
	stop()
	if err != nil {
		os.Exit(1)
	}
}

// TestScenarios runs the scripts of testdata against separate processes. The first lines of each script name the
// promises (P1 to P8) that it guards.
func TestScenarios(t *testing.T) {
	all, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, all)
	red := knownRed(t)
	files := slices.DeleteFunc(all, func(f string) bool {
		listed := red[strings.TrimSuffix(filepath.Base(f), ".txtar")]
		if listed {
			t.Logf("%s is listed in KNOWN-RED.txt", f)
		}
		return listed
	})
	tour, err := filepath.Abs("../../tour")
	require.NoError(t, err)
	slots, number := make(chan struct{}, maxParallelScripts), atomic.Int64{}
	testscript.Run(t, testscript.Params{
		Files: files, Cmds: scriptCommands(), RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			env.T().(testing.TB).Cleanup(func() { <-slots })
			env.Setenv("tour", tour)
			setup(env, number.Add(1))
			return nil
		},
	})
}

// knownRed returns the scripts that KNOWN-RED.txt lists as known failures, to be skipped. It returns none if
// ROSEMARYWIND_RED is "run".
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
