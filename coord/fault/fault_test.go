package fault_test

import (
	"context"
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
)

func TestFault(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fault")
}

var _ = Describe("the table kind -> answer", func() {
	It("has a complete row for each kind", func() {
		for _, k := range fault.Kinds() {
			a := fault.AnswerFor(k)
			Expect(fault.Known(k)).To(BeTrue(), string(k))
			Expect(a.Status).To(BeNumerically(">=", 400), string(k))
			Expect(a.TwirpCode).NotTo(BeEmpty(), string(k))
			Expect(a.Ran).To(BeElementOf(fault.RanNo, fault.RanUnknown, fault.RanYes), string(k))
		}
	})

	// A caller may repeat freely whatever the table calls repeatable. If a kind
	// that may have run were called repeatable, a doubled order would be our advice.
	It("calls nothing repeatable that may have run", func() {
		for _, k := range fault.Kinds() {
			a := fault.AnswerFor(k)
			if a.Repeatable {
				Expect(a.Ran).To(Equal(fault.RanNo), string(k))
			}
		}
	})

	It("finds a fault through wrapping and maps context errors", func() {
		err := fmt.Errorf("entry: %w", fault.New(fault.NotHere, "model %s", "m"))
		Expect(fault.Is(err, fault.NotHere)).To(BeTrue())
		Expect(fault.From(context.DeadlineExceeded).Kind).To(Equal(fault.Timeout))
		Expect(fault.From(fmt.Errorf("x")).Kind).To(Equal(fault.Internal))
		Expect(fault.From(nil)).To(BeNil())
	})

	It("stands in the operators' page as it is", func() {
		page, err := os.ReadFile("../../docs/operators/errors.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring(fault.Table()), "put this table into docs/operators/errors.md:\n"+fault.Table())
	})

	It("answers an unknown kind as internal", func() {
		Expect(fault.AnswerFor("no such kind")).To(Equal(fault.AnswerFor(fault.Internal)))
	})
})
