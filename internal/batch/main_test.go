package batch_test

import (
	"fmt"
	"os"
	"testing"

	"rosemarywind.example/rosemarywind/internal/fuzzing"
)

// stepsOfCheck is the mean number of steps of a check.
const stepsOfCheck = 60

func TestMain(m *testing.M) {
	if err := fuzzing.Setup(stepsOfCheck); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}
