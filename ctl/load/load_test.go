package load

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/standin/engine"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

var _ = Describe("the load tool", func() {
	var target *engine.Target
	var plan Plan

	BeforeEach(func() {
		target = engine.New(engine.Config{MemoryBytes: 10, TokenTime: time.Microsecond, PromptTime: time.Microsecond})
		server := httptest.NewServer(target.Handler())
		DeferCleanup(server.Close)
		resp, err := server.Client().Post(server.URL+"/admin/load", "application/json", bytes.NewBufferString(`{"model":"m","bytes":5}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		plan = Plan{
			Entries: []string{server.URL}, Keys: map[string]string{"a": "", "b": ""}, Models: []string{"m"},
			Mix:         map[Shape]int{ShapeWhole: 1, ShapeStream: 1, ShapeService: 1, ShapeOnce: 1},
			ServicePath: "lookup", OncePath: "confirm",
			Rate: 1000, Duration: 100 * time.Millisecond, Timeout: time.Minute, MaxTokens: 4, Seed: 7, Direct: true,
		}
	})

	run := func() Summary {
		outcomes, err := Run(context.Background(), plan, nil)
		Expect(err).NotTo(HaveOccurred())
		return Summarize(outcomes, time.Second)
	}

	It("draws the same requests from the same seed", func() {
		Expect(plan.schedule()).To(Equal(plan.schedule()))
		other := plan
		other.Seed++
		Expect(other.schedule()).NotTo(Equal(plan.schedule()))
	})

	It("counts every request of a healthy target as answered", func() {
		r := run()
		Expect(r.Sent).To(BeNumerically(">", 50))
		Expect(r.Lost + r.Wrong).To(BeZero())
		for _, row := range r.Rows {
			Expect(row.Answered).To(Equal(row.Sent))
		}
	})

	// A target closes the connection in the middle of each answer. If the tool
	// took half an answer for a whole one, a lost answer would never show.
	It("never counts half an answer as answered", func() {
		target.SetFaults(engine.Faults{TruncateResponse: true})
		r := run()
		for _, row := range r.Rows {
			Expect(row.Answered).To(BeZero())
			Expect(row.Broken + row.Lost).To(Equal(row.Sent))
		}
	})

	DescribeTable("refuses a plan that cannot be sent, or that would leave this machine",
		func(change func(*Plan), flag string) {
			change(&plan)
			_, err := Run(context.Background(), plan, nil)
			Expect(fault.Is(err, fault.InvalidRequest)).To(BeTrue())
			Expect(err.Error()).To(ContainSubstring(flag))
		},
		Entry("no entry", func(p *Plan) { p.Entries = nil }, "--entry"),
		Entry("not loopback", func(p *Plan) { p.Entries = []string{"http://192.0.2.1:80"} }, "loopback"),
		Entry("rate", func(p *Plan) { p.Rate = 0 }, "--rate"),
		Entry("mix", func(p *Plan) { p.Mix = nil }, "--mix"),
		Entry("model", func(p *Plan) { p.Models = nil }, "--model"),
	)
})
