package dispatch_test

import (
	"testing"

	"rosemarywind.example/rosemarywind/internal/fuzzing"
)

// stepsOfCheck is the mean number of steps per check.
const stepsOfCheck = 70

func TestMain(m *testing.M) { fuzzing.Main(m, stepsOfCheck) }
