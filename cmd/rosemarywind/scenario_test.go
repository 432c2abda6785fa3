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

// scriptsAtOnce bounds the processes: one script runs up to a dozen of them.
const scriptsAtOnce = 4

// TestMain runs this binary as one of the commands when a script starts it under the command's name.
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

// Each script of testdata names the promise that it guards in its first lines.
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
	slots, number := make(chan struct{}, scriptsAtOnce), atomic.Int64{}
	testscript.Run(t, testscript.Params{
		Files: files, Cmds: ofSystem(), RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			env.T().(testing.TB).Cleanup(func() { <-slots })
			env.Setenv("tour", tour)
			setup(env, number.Add(1))
			return nil
		},
	})
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
