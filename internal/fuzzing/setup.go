package fuzzing

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Environment variables that override the default seed, number of checks and mean number of steps in each check.
const (
	SeedVariable   = "ROSEMARYWIND_SEED"
	ChecksVariable = "ROSEMARYWIND_CHECKS"
	StepsVariable  = "ROSEMARYWIND_STEPS"
)

// NoSteps is the number of steps for packages without stateful tests.
const NoSteps = 1

// Main runs the tests of a package and exits; TestMain of a package with rapid tests calls it. By default the seed is
// 1, the number of checks 100, and steps the mean number of steps that rapid aims at in each check.
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
	if err = flag.Set("rapid.seed", getenv(SeedVariable, "1")); err != nil {
		return err
	}
	if err = flag.Set("rapid.steps", getenv(StepsVariable, strconv.Itoa(steps))); err != nil {
		return err
	}
	return flag.Set("rapid.checks", getenv(ChecksVariable, "100"))
}

func getenv(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}
