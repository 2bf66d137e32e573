package request_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// init sets a fixed seed for rapid, so that results are reproducible. Flags on the command
// line take precedence.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestRequest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "request")
}

// start is the start of simulated time.
var start = time.Unix(1_700_000_000, 0)
