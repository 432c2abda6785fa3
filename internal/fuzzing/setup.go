package fuzzing

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Names of the environment variables that replace the fixed values.
const (
	SeedVariable   = "ROSEMARYWIND_SEED"
	ChecksVariable = "ROSEMARYWIND_CHECKS"
	StepsVariable  = "ROSEMARYWIND_STEPS"
)

// NoSteps is for packages without a state machine.
const NoSteps = 1

// Main runs the tests of a package with rapid's seed, number of checks and the mean number of steps that it aims at in
// each check; the TestMain of a package with rapid tests calls it.
func Main(m *testing.M, steps int) {
	if err := setup(steps); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}

func setup(steps int) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("set up fuzzing: %w", err)
		}
	}()
	flag.Parse()
	if err = flag.Set("rapid.seed", variable(SeedVariable, "1")); err != nil {
		return err
	}
	if err = flag.Set("rapid.steps", variable(StepsVariable, strconv.Itoa(steps))); err != nil {
		return err
	}
	return flag.Set("rapid.checks", variable(ChecksVariable, "100"))
}

func variable(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}
