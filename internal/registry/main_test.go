package registry_test

import (
	"testing"

	"rosemarywind.example/rosemarywind/internal/fuzzing"
)

// stepsOfCheck gives more than 10,000 steps in the 200 checks of CI with seed 1.
const stepsOfCheck = 60

func TestMain(m *testing.M) { fuzzing.Main(m, stepsOfCheck) }
