package e2e

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/gen/operators"
	"cowsliptiller/standin/engine"
)

// Guards against a fleet that stops with one failure domain, and against an evacuation that is
// lost with the control member that acknowledged it.
var _ = Describe("three failure domains as separate processes", func() {
	It("serve on after the loss of one, with another one evacuated", func() {
		f := newFleet(size{controls: 3, entries: 3, targets: vaalkop.targets, spread: true})
		f.configure(vaalkop.example, vaalkop.workspaces...)
		f.warm(vaalkop)
		f.must(nil, "domain", "evacuate", "domain-c")
		for _, p := range []*process{f.controls[0], f.entries[0], f.agents[0], f.targets[0]} {
			p.kill()
		}
		Eventually(func() int {
			return f.ask(1, "drivers", "/v1/completions", completion("vaalkop-m005", "served", 8)).status
		}, patience, "200ms").Should(Equal(http.StatusOK), "by the target of domain-b")
		var list operators.EvacuationList
		f.must(&list, "domain", "list")
		Expect(list.Evacuations).To(ConsistOf(HaveValue(And(HaveField("FailureDomain", "domain-c"), HaveField("Evacuated", true)))))
		refused := f.ask(1, "labs", confirm, `{"confirm":"drum-3"}`, "Idempotency-Key", "drum-3")
		Expect(refused.body).To(ContainSubstring(`"ran":"no"`), "its only target is in domain-c")
		ran := func() []engine.Execution { return f.record(2).Executions }
		Expect(ran()).NotTo(ContainElement(HaveField("Body", ContainSubstring("drum-3"))))
		f.must(nil, "domain", "evacuate", "domain-c", "--undo")
		Eventually(func() int {
			return f.ask(2, "labs", confirm, `{"confirm":"drum-4"}`, "Idempotency-Key", "drum-4").status
		}, patience, "200ms").Should(Equal(http.StatusOK))
		Expect(ran()).To(ContainElement(HaveField("Body", ContainSubstring("drum-4"))))
	})
})
