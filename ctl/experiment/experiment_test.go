package experiment

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/jessevdk/go-flags"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "experiment")
}

// TestCommand runs the command with the flags in EXPERIMENT, for a look at the
// figures without the client; without them it does nothing.
func TestCommand(t *testing.T) {
	args := os.Getenv("EXPERIMENT")
	if args == "" {
		t.Skip("EXPERIMENT holds no flags")
	}
	var c Command
	if _, err := flags.ParseArgs(&c, splitFields(args)); err != nil {
		t.Fatal(err)
	}
	if err := c.Execute(nil); err != nil {
		t.Fatal(err)
	}
}

func splitFields(s string) []string {
	var out []string
	for _, f := range bytes.Fields([]byte(s)) {
		out = append(out, string(f))
	}
	return out
}

var _ = Describe("the driver", func() {
	It("draws the same run from the same seed", func() {
		first := run(deployments[0], scenarios[1], own(), 3)
		Expect(run(deployments[0], scenarios[1], own(), 3)).To(Equal(first))
	})

	// Each row of the table rests on this: a request without a final answer, or
	// memory that is overcommitted, would make every other figure meaningless.
	It("answers each request once and overcommits nothing, under each scenario and policy", func() {
		for _, s := range scenarios {
			for _, p := range []policy{plain(), own()} {
				r := run(deployments[0], s, p, 1)
				where := fmt.Sprintf("%s, %s", s.Name, p.name)
				Expect(r.Lost).To(BeZero(), where)
				Expect(r.Overcommit).To(BeFalse(), where)
			}
		}
	})
})
