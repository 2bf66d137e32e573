package residency_test

import (
	"math"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/residency"
)

var _ = Describe("a limit on the loads from the store", func() {
	// Guards against a control leader that runs out of memory because of an operator's limit.
	DescribeTable("takes little memory, whatever it is", func(perSecond float64) {
		now := time.Unix(1_700_000_000, 0)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		g := residency.NewLoadLimiter(perSecond, 5*time.Second, now)
		runtime.ReadMemStats(&after)
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 8<<20))
		granted, _ := g.TryAcquire("h", residency.LoadRequest{Model: "m", FromStore: true}, now)
		Expect(granted).To(Equal(perSecond > 1e5), "a limit that is full at the start grants none")
	},
		Entry("small", 2.0),
		Entry("a million", 1e6),
		Entry("beyond 64-bit integers", 1e300),
		Entry("infinite", math.Inf(1)),
	)
})
