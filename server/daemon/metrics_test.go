package daemon

import (
	"os"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/server/intake"
	"cowsliptiller/server/metrics"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

// names collects the names of all metrics as their descriptions give them.
type names struct{ registered map[string]bool }

var described = regexp.MustCompile(`fqName: "([^"]+)"`)

func (n names) Register(c prometheus.Collector) error {
	ch := make(chan *prometheus.Desc, 64)
	go func() {
		c.Describe(ch)
		close(ch)
	}()
	for d := range ch {
		n.registered[described.FindStringSubmatch(d.String())[1]] = true
	}
	return nil
}

func (n names) MustRegister(cs ...prometheus.Collector) {
	for _, c := range cs {
		_ = n.Register(c)
	}
}

func (n names) Unregister(prometheus.Collector) bool { return false }

var _ = Describe("the operators' page on metrics", func() {
	It("names each metric that there is, and no other", func() {
		n := names{map[string]bool{}}
		metrics.NewEntry(n, func() float64 { return 0 }, func() float64 { return 0 })
		metrics.NewAgent(n)
		metrics.RegisterControl(n, func() metrics.ControlStatus { return metrics.ControlStatus{} })
		metrics.NewLeases(n, func() float64 { return 0 }, func() float64 { return 0 })
		metrics.NewMember(n)
		intake.NewReader(0, time.Now).Register(n)
		page, err := os.ReadFile("../../docs/operators/metrics.md")
		Expect(err).NotTo(HaveOccurred())
		named := map[string]bool{}
		suffix := regexp.MustCompile(`_bucket$`)
		for _, name := range regexp.MustCompile(`cowslip_[a-z_]+`).FindAllString(string(page), -1) {
			named[suffix.ReplaceAllString(name, "")] = true
		}
		Expect(named).To(Equal(n.registered))
	})
})
