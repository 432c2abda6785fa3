package registry_test

import (
	"os"
	"testing"

	"rosemarywind.example/rosemarywind/internal/fuzzing"
)

func TestMain(m *testing.M) {
	if err := fuzzing.Setup(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
