package driver_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that still run after the node that started them has stopped.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
