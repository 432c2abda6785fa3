package fuzzing

import (
	"flag"
	"fmt"
	"os"
)

// Names of the environment variables that replace the fixed values.
const (
	SeedVariable   = "ROSEMARYWIND_SEED"
	ChecksVariable = "ROSEMARYWIND_CHECKS"
)

// Setup sets rapid's seed and number of checks; a TestMain of a package with rapid tests calls it first.
func Setup() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("set up fuzzing: %w", err)
		}
	}()
	flag.Parse()
	if err = flag.Set("rapid.seed", variable(SeedVariable, "1")); err != nil {
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
