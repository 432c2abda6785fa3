package fuzzing

import (
	"flag"
	"fmt"
	"os"
	"strconv"
)

// Names of the environment variables that replace the fixed values.
const (
	SeedVariable   = "ROSEMARYWIND_SEED"
	ChecksVariable = "ROSEMARYWIND_CHECKS"
	StepsVariable  = "ROSEMARYWIND_STEPS"
)

// NoSteps is for packages without a state machine.
const NoSteps = 1

// Setup sets rapid's seed, number of checks and the mean number of steps that it aims at in each check; a TestMain of a package with rapid tests calls it first.
func Setup(steps int) (err error) {
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
