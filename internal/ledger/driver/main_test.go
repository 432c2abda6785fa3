package driver_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive the node that started them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
