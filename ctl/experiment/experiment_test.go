package experiment

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "experiment")
}

// small is a deployment that runs fast enough for a test.
var small = Deployment{"small", 20, 24, 4, 2, 4, 4, deployments[0].OneWay, deployments[0].Workspaces}

var _ = Describe("the driver", func() {
	It("draws the same run from the same seed", func() {
		first := run(small, scenarios[1], own(), 3)
		Expect(run(small, scenarios[1], own(), 3)).To(Equal(first))
		Expect(run(small, scenarios[1], own(), 4)).NotTo(Equal(first))
	})

	// Each row of the table rests on this: a request without a final answer, a
	// rate that is overrun or memory that is overcommitted would make every other
	// figure meaningless.
	It("answers each request once, overcommits nothing and overruns no rate, in each scenario", func() {
		for _, s := range scenarios {
			if s.Name == "idle" {
				s.Duration = 5 * time.Minute
			}
			for _, p := range []policy{plain(), own()} {
				r := run(small, s, p, 1)
				where := fmt.Sprintf("%s, %s", s.Name, p.name)
				Expect(r.Lost).To(BeZero(), where)
				Expect(r.Overcommit).To(BeFalse(), where)
				Expect(r.Overrun).To(BeZero(), where)
			}
		}
	})

	// A tail over all classes hides who waits: each cold start is in the table of
	// its class once, and no class waits beyond its own deadline.
	It("counts each cold start under its class", func() {
		r := run(small, scenarios[2], own(), 1)
		longest := map[string]float64{classLookup: 8, classReport: 60, classBrief: 300}
		n := 0
		for class, waits := range r.ColdClass {
			n += len(waits)
			for _, wait := range waits {
				Expect(wait).To(BeNumerically("<=", longest[class]+1e-9), class)
			}
			Expect(r.ColdMissed[class]).To(BeNumerically("<=", len(waits)))
		}
		Expect(n).To(Equal(len(r.Cold)))
		Expect(n).To(BeNumerically(">", 0))
	})

	It("divides capacity by rate among those that ask for more", func() {
		asked := map[string]float64{"a": 10, "b": 100, "c": 100}
		rates := map[string]float64{"a": 1, "b": 1, "c": 2}
		Expect(fairShares(asked, rates, 100)).To(Equal(map[string]float64{"a": 10, "b": 30, "c": 60}))
		Expect(fairShares(asked, rates, 1000)).To(Equal(asked))
	})
})

var _ = Describe("the command", func() {
	It("prints the table and writes the files", func() {
		dir := GinkgoT().TempDir()
		var out bytes.Buffer
		c := Command{Scenarios: []string{"burst"}, Deployments: []string{"vaalkop"}, Scales: []int{1}, Seeds: 1, FirstSeed: 1, Workers: 1,
			CSV: filepath.Join(dir, "t.csv"), Plot: filepath.Join(dir, "t.png"), Out: &out}
		Expect(c.Execute(nil)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("vaalkop"))
		Expect(out.String()).To(MatchRegexp(`burst +own +lookup`), "the cold starts by class")
		table, err := os.ReadFile(c.CSV)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Count(table, []byte("\n"))).To(Equal(3), "a header and a line for each policy")
		picture, err := os.ReadFile(c.Plot)
		Expect(err).NotTo(HaveOccurred())
		Expect(picture).To(HavePrefix("\x89PNG"))
	})

	DescribeTable("refuses what it cannot run", func(c Command) {
		Expect(fault.Is(c.Execute(nil), fault.InvalidRequest)).To(BeTrue())
	},
		Entry("no seed", Command{Workers: 1}),
		Entry("unknown scenario", Command{Seeds: 1, Workers: 1, Scenarios: []string{"none"}}),
		Entry("scale", Command{Seeds: 1, Workers: 1, Scales: []int{0}}),
	)
})
