package config_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/fault"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

func example(name string) string {
	text, err := os.ReadFile("../../examples/" + name)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

var _ = Describe("a questionnaire", func() {
	DescribeTable("of an example deployment yields the expected numbers of entries",
		func(name string, models, adapters, engines, services int, loads float64) {
			q, err := config.Parse([]byte(example(name)))
			Expect(err).NotTo(HaveOccurred())
			c := config.Generate(q, 1)
			Expect(c.Models).To(HaveLen(models))
			Expect(c.Adapters).To(HaveLen(adapters))
			Expect(c.Targets).To(HaveLen(engines + services))
			Expect(c.Workspaces).To(HaveLen(5))
			Expect(c.Domains).To(HaveLen(3))
			Expect(c.Store.LoadsPerSecond).To(Equal(loads))
			Expect(c.DefaultClass).NotTo(BeEmpty())
		},
		Entry("Vaalkop", "vaalkop.yaml", 65, 75, 12, 3, 4.0),
		Entry("Kyklos", "kyklos.yaml", 95, 110, 18, 3, 6.0),
	)

	// Guards against a typing error that is accepted and in force on every host within
	// seconds. The error must name the line and the reason.
	DescribeTable("with a wrong value is rejected with its line",
		func(old, new, line, reason string) {
			text := example("vaalkop.yaml")
			Expect(text).To(ContainSubstring(old))
			_, err := config.Parse([]byte(strings.Replace(text, old, new, 1)))
			Expect(fault.Is(err, fault.InvalidRequest)).To(BeTrue())
			Expect(err.Error()).To(ContainSubstring(line))
			Expect(err.Error()).To(ContainSubstring(reason))
		},
		Entry("unknown field", "full_speed_loads", "fullspeed_loads", "line 8", "fullspeed_loads"),
		Entry("rate of zero", "rate: 40000", "rate: 0", "line 180", "above 0"),
		Entry("duplicate name", "name: printers", "name: workshops", "line 181", "already the name"),
		Entry("a model no target can hold", "size: 14GiB", "size: 57GiB", "line 38", "largest target holds"),
		Entry("unit missing", "size: 14GiB", "size: 14", "line 38", "not a size"),
		Entry("unknown failure domain", "failure_domain: gauteng-a", "failure_domain: gauteng-x", "line 22", "gauteng-x"),
		Entry("two default classes", "deadline: 3s, repeatable: true", "deadline: 3s, repeatable: true, default: true", "line 12", "exactly one"),
	)

	It("that is empty, too long or holds two documents is rejected", func() {
		_, err := config.Parse(nil)
		Expect(err).To(MatchError(ContainSubstring("empty")))
		text := example("kyklos.yaml")
		_, err = config.Parse([]byte(text + "\n---\n" + text))
		Expect(err).To(MatchError(ContainSubstring("more than one document")))
		_, err = config.Parse(make([]byte, config.MaxQuestionnaireBytes+1))
		Expect(fault.Is(err, fault.TooLarge)).To(BeTrue())
	})
})

func FuzzParse(f *testing.F) {
	for _, name := range []string{"vaalkop.yaml", "kyklos.yaml"} {
		text, err := os.ReadFile("../../examples/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte("deployment: x\nmodels: [{name: a, size: -1GiB}]\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		q, err := config.Parse(text)
		if err == nil {
			config.Generate(q, 1)
			return
		}
		if k := fault.From(err).Kind; k != fault.InvalidRequest && k != fault.TooLarge {
			t.Fatalf("unexpected kind %s: %v", k, err)
		}
	})
}
