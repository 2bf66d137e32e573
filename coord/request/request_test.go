package request_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRequest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "request")
}

// start is the beginning of virtual time.
var start = time.Unix(1_700_000_000, 0)
