package registry_test

import (
	"testing"

	"rosemarywind.example/rosemarywind/internal/fuzzing"
)

// stepsOfCheck is the number of steps per check; the 200 checks of CI with seed 1 make more than 10,000 of them.
const stepsOfCheck = 60

func TestMain(m *testing.M) { fuzzing.Main(m, stepsOfCheck) }
