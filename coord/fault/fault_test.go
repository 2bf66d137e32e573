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

	// Clients retry every error that the table marks repeatable. If the request may
	// already have run, the retry executes it a second time.
	It("marks no kind as repeatable whose request may have run", func() {
		for _, k := range fault.Kinds() {
			a := fault.AnswerFor(k)
			if a.Repeatable {
				Expect(a.Ran).To(Equal(fault.RanNo), string(k))
			}
		}
	})

	It("finds the Error in a wrapped error and maps context errors", func() {
		err := fmt.Errorf("entry: %w", fault.New(fault.NotHere, "model %s", "m"))
		Expect(fault.Is(err, fault.NotHere)).To(BeTrue())
		Expect(fault.From(context.DeadlineExceeded).Kind).To(Equal(fault.Timeout))
		Expect(fault.From(fmt.Errorf("x")).Kind).To(Equal(fault.Internal))
		Expect(fault.From(nil)).To(BeNil())
	})

	It("matches the table in the operators' page", func() {
		page, err := os.ReadFile("../../docs/operators/errors.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring(fault.Table()), "put this table into docs/operators/errors.md:\n"+fault.Table())
	})

	It("maps an unknown kind to the answer for internal", func() {
		Expect(fault.AnswerFor("no such kind")).To(Equal(fault.AnswerFor(fault.Internal)))
	})
})
