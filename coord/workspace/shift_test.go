package workspace_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/workspace"
)

// shiftRun is the calls of one workspace at a share of its rate: to all hosts for 10 s, then all but
// a tenth to one host for 5 s. It returns the calls and refusals of each part.
func shiftRun(seed int64, hosts int, share float64) (before, after [2]int) {
	const tokens = 100
	l := newLoadRun(seed, hosts, workspace.Limit{Rate: 40_000, Burst: 40_000})
	arrive := func(host func() int) func() {
		return func() {
			if l.r.Float64() < share*40_000/1000/tokens {
				l.call(host(), tokens)
			}
		}
	}
	anyHost := func() int { return l.r.Intn(hosts) }
	l.run(10_000, arrive(anyHost))
	before = [2]int{l.asked, l.refused}
	l.run(5_000, arrive(func() int {
		if l.r.Intn(10) == 0 {
			return anyHost()
		}
		return 0
	}))
	l.run(1_000, func() {}) // outcomes of the last calls
	return before, [2]int{l.asked - before[0], l.refused - before[1]}
}

var _ = Describe("a workspace's calls that move to one host", func() {
	// Guards against refusals inside the rate because the tokens are held by the other hosts.
	DescribeTable("are served as before", func(hosts int, share float64) {
		var before, after [2]int
		for seed := range int64(3) {
			b, a := shiftRun(seed, hosts, share)
			before, after = [2]int{before[0] + b[0], before[1] + b[1]}, [2]int{after[0] + a[0], after[1] + a[1]}
		}
		AddReportEntry("refused", fmt.Sprintf("before %d of %d, after %d of %d", before[1], before[0], after[1], after[0]))
		Expect(float64(after[1])).To(BeNumerically("<=", 0.001*float64(after[0])))
	},
		Entry("from 6 hosts at half the rate", 6, 0.5),
		Entry("from 6 hosts at nine tenths of the rate", 6, 0.9),
		Entry("from 18 hosts at nine tenths of the rate", 18, 0.9),
	)
})
