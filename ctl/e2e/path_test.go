package e2e

import (
	"cmp"
	"context"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/ctl/load"
)

var binaries struct{ cowslipd, cowslipctl string }

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "e2e")
}

var _ = BeforeSuite(func() {
	dir := GinkgoT().TempDir()
	binaries.cowslipd = build(dir, "server", "./cmd/cowslipd")
	binaries.cowslipctl = build(dir, "ctl", "./cmd/cowslipctl")
})

// deployment is one of the users' deployments, as far as a test needs it.
type deployment struct {
	example    string
	targets    []string
	workspaces []string
	models     []string
	service    string
	once       string
}

var vaalkop = deployment{
	example:    "vaalkop.yaml",
	targets:    []string{"assist-01", "assist-02", "portal-1"},
	workspaces: []string{"workshops", "labs", "drivers"},
	models:     []string{"vaalkop-m005", "vaalkop-a005", "vaalkop-m010"},
	service:    "portal/bookings",
	once:       "portal/manifests/confirm",
}

var kyklos = deployment{
	example:    "kyklos.yaml",
	targets:    []string{"design-01", "design-02", "order-desk-1"},
	workspaces: []string{"wholesale", "shop-plaka"},
	models:     []string{"kyklos-m005", "kyklos-a005", "kyklos-m010"},
	service:    "order-desk/stock",
	once:       "order-desk/print-jobs/place",
}

// plan is mixed traffic for a deployment.
func (d deployment) plan(f *fleet, seed uint64, rate float64, duration time.Duration) load.Plan {
	seed += extraSeed()
	p := load.Plan{
		Keys: f.keys, Models: d.models, ServicePath: d.service, OncePath: d.once,
		Mix:  map[load.Shape]int{load.ShapeWhole: 2, load.ShapeStream: 3, load.ShapeService: 2, load.ShapeOnce: 2},
		Rate: rate, Duration: duration, Timeout: patience, MaxTokens: 8, Skew: 1, Seed: seed,
	}
	for _, c := range f.callers {
		p.Entries = append(p.Entries, "http://"+c)
	}
	return p
}

// longestDeadline is above the longest deadline of the classes that plans use
// (30 s for calls that may not be repeated), with room for a busy machine.
const longestDeadline = 40 * time.Second

var _ = Describe("the whole path as separate processes", func() {
	DescribeTable("answers whole, streamed and plain-service calls",
		func(d deployment) {
			f := newFleet(size{controls: 3, entries: 2, targets: d.targets})
			f.configure(d.example, d.workspaces...)
			outcomes, err := load.Run(context.Background(), d.plan(f, 1, 20, 3*time.Second), nil)
			Expect(err).NotTo(HaveOccurred())
			judge(f, outcomes, f.executions(), longestDeadline)
			summary := load.Summarize(outcomes, 3*time.Second)
			var table strings.Builder
			summary.Write(&table)
			AddReportEntry("callers", table.String())
			Expect(count(outcomes, load.Answered)).To(Equal(len(outcomes)), table.String())
		},
		Entry("for Vaalkop", vaalkop),
		Entry("for Kyklos", kyklos),
	)
})

// extraSeed moves every seed of a run, for longer runs than CI's. CI sets none.
func extraSeed() uint64 {
	n, err := strconv.ParseUint(cmp.Or(os.Getenv("COWSLIP_E2E_SEED"), "0"), 10, 64)
	Expect(err).NotTo(HaveOccurred(), "COWSLIP_E2E_SEED")
	return n
}
