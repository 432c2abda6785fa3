package batch_test

import (
	"testing"

	"rosemarywind.example/rosemarywind/internal/fuzzing"
)

// stepsPerCheck is the mean number of actions in one random check.
const stepsPerCheck = 60

func TestMain(m *testing.M) { fuzzing.Main(m, stepsPerCheck) }
