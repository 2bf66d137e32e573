package explain_test

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/ctl/explain"
)

// unserved is what two hosts wrote of requests that two routes lost.
const unserved = `e1 {"@timestamp":"2026-01-02T03:04:05.000Z","@message":"request_ended","host":"e1","request":"r1","route":"draft","kind":"overloaded","cause":"target i-1, the best one, has a queue of 412ms","took_ms":10}
e1 {"@timestamp":"2026-01-02T03:04:09.000Z","@message":"request_ended","host":"e1","request":"r2","route":"draft","kind":"overloaded","cause":"target i-22, the best one, has a queue of 1.27s","took_ms":30}
e2 {"@timestamp":"2026-01-02T03:04:07.000Z","@message":"request_ended","host":"e2","request":"r3","route":"draft","kind":"rate_limited","cause":"workspace w7 is over its rate","took_ms":0}
e2 {"@timestamp":"2026-01-02T03:04:07.000Z","@message":"request_ended","host":"e2","request":"r4","route":"lookup","kind":"no_capacity","cause":"no target can load model \"m4\"","took_ms":5}
e2 {"@timestamp":"2026-01-02T03:04:07.000Z","@message":"request_ended","host":"e2","request":"r5","route":"draft","kind":"","cause":"","took_ms":90}
e2 {"@timestamp":"2026-01-02T03:04:07.000Z","@message":"attempt_failed","host":"e2","request":"r4","kind":"overloaded","cause":"target i-1 is full"}
`

var _ = Describe("the losses of a fleet", func() {
	read := func() []explain.Line {
		GinkgoHelper()
		lines, _, err := explain.Read(strings.NewReader(unserved))
		Expect(err).NotTo(HaveOccurred())
		return lines
	}

	It("are requests that ended unserved, by reason, the most frequent first", func() {
		losses := explain.Losses(read())
		Expect(losses).To(HaveLen(3))
		first := losses[0]
		Expect(first.Count).To(Equal(2))
		Expect(first.Kind).To(Equal(fault.Overloaded))
		Expect(first.Cause).To(Equal("target …, the best one, has a queue of N"))
		Expect(first.Took.Milliseconds()).To(BeEquivalentTo(20))
		Expect(first.Last.Sub(first.First).Seconds()).To(BeEquivalentTo(4))
	})

	It("are printed with shares that add up to all that was lost", func() {
		var out bytes.Buffer
		Expect(explain.PrintLosses(&out, explain.Losses(read()))).To(Succeed())
		Expect(out.String()).To(And(ContainSubstring(" 50.0%"), ContainSubstring("workspace … is over its rate"), ContainSubstring("03:04:05.0 03:04:09.0")))
		Expect(strings.Count(out.String(), " 25.0%")).To(Equal(2))
	})

	It("are none in logs without any", func() {
		Expect(explain.Losses(nil)).To(BeEmpty())
		Expect(explain.PrintLosses(&bytes.Buffer{}, nil)).To(Succeed())
	})
})
