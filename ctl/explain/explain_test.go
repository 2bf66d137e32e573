package explain_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/ctl/explain"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

// log is what four processes wrote, in no order of time.
const log = `edge-1 | {"@timestamp":"2026-01-02T03:04:05.900Z","@message":"request_ended","host":"edge-1","request":"r1","status":503,"kind":"overloaded","cause":"target i-1, the best one, has a queue of 400ms","target":"i-1","model":"m1/a3","retry_after_ms":400}
edge-1 | {"@timestamp":"2026-01-02T03:04:05.880Z","@message":"attempt_failed","host":"edge-1","request":"r1","target":"i-2","cause":"target i-2 is full","again":true}
side-2 | {"@timestamp":"2026-01-02T03:04:01.000Z","@message":"order_given","host":"side-2","target":"i-2","load":true,"model":"m1","outcome":"accepted: taken"}
side-9 | {"@timestamp":"2026-01-02T03:04:02.000Z","@message":"order_given","host":"side-9","target":"i-9","load":true,"model":"m9","outcome":"accepted: taken"}
edge-2 | {"@timestamp":"2026-01-02T03:04:03.000Z","@message":"board opened","host":"edge-2","term":2}
edge-2 | {"@timestamp":"2026-01-02T03:04:03.500Z","@message":"request_ended","host":"edge-2","request":"r2","status":200,"target":"i-1","model":"m1"}
edge-2 | {"@timestamp":"2026-01-02T03:04:04.000Z","@message":"dependency_lost","host":"edge-2","dependency":"board"}
edge-1 | {"@timestamp":"2026-01-02T03:04:04.100Z","@message":"dependency_lost","host":"edge-1","dependency":"board"}
edge-1 | {"@timestamp":"2026-01-02T03:03:00.000Z","@message":"dependency_lost","host":"edge-1","dependency":"board"}
edge-1 | {"@timestamp":"2026-01-02T03:04:09.000Z","@message":"board opened","host":"edge-1","term":3}
edge-1 | {"@timestamp":"2026-01-02T03:04:06.000Z","@message":"target_changed","host":"edge-1","target":"i-7","service":"models","gone":true}
edge-2 | {"@timestamp":"2026-01-02T03:04:06.000Z","@message":"target_changed","host":"edge-2","target":"i-7","service":"models","gone":true}
edge-1 | {"@timestamp":"2026-01-02T03:04:06.100Z","@message":"target_changed","host":"edge-1","target":"i-8","service":"plain","gone":true}
edge-1 | {"@timestamp":"2026-01-02T03:04:06.500Z","@message":"request_ended","host":"edge-1","request":"r3","status":503,"kind":"no_capacity","cause":"no target can load model m2","service":"models"}
what another program wrote
{"half":
`

var _ = Describe("the explanation of a request", func() {
	read := func() []explain.Line {
		GinkgoHelper()
		lines, skipped, err := explain.Read(strings.NewReader(log))
		Expect(err).NotTo(HaveOccurred())
		Expect(skipped).To(Equal(2))
		return lines
	}

	// A caller complains of a refusal. The engineer has the id and the lines of all
	// processes: those of the request name a target and a model, and what was decided
	// on these stands in other processes' logs.
	It("is its own lines and what was decided on their target, model and host before", func() {
		decided, err := explain.Of("r1", read())
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		Expect(explain.Print(&out, "r1", decided)).To(Succeed())
		Expect(strings.Split(strings.TrimRight(out.String(), "\n"), "\n")).To(Equal([]string{
			`     -4900ms  side-2               order_given          load=true model=m1 outcome="accepted: taken" target=i-2`,
			`     -2900ms  edge-2               board opened         term=2`,
			`     -1800ms  edge-1               dependency_lost      dependency="board"`,
			`*      -20ms  edge-1               attempt_failed       again=true cause="target i-2 is full" target=i-2`,
			`*        0ms  edge-1               request_ended        cause="target i-1, the best one, has a queue of 400ms" kind="overloaded" model=m1/a3 retry_after_ms=400 status=503 target=i-1`,
		}))
	})

	// A caller is refused because no target could take its model. The request names no
	// target, so that what became of those of its service was left out.
	It("tells what became of the targets of its service where it found none", func() {
		decided, err := explain.Of("r3", read())
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		Expect(explain.Print(&out, "r3", decided)).To(Succeed())
		Expect(out.String()).To(ContainSubstring(`     -500ms  edge-1               target_changed       gone=true service="models" target=i-7`))
		Expect(strings.Count(out.String(), "target_changed")).To(Equal(1))
	})

	It("says so where no line names the request", func() {
		_, err := explain.Of("r9", read())
		Expect(fault.Is(err, fault.NotFound)).To(BeTrue())
	})
})
