package scenario

import (
	"flag"
	"os"
	"testing"
)

// parallelScenarios limits the deployments that run concurrently, so that the
// tests can run on a small machine.
const parallelScenarios = "3"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", parallelScenarios); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
