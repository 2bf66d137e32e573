package request_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// init gives rapid a fixed seed, so that each run has the same verdict; the flags of
// the command line win.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestRequest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "request")
}

// start is the beginning of virtual time.
var start = time.Unix(1_700_000_000, 0)
