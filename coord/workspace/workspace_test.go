package workspace_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// init gives rapid a fixed seed, so that results are reproducible. Command-line flags take
// precedence.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestWorkspace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "workspace")
}

// start is the initial time of the simulated clock.
var start = time.Unix(1_700_000_000, 0)
