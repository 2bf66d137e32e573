package residency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/residency"
)

var _ = Describe("room reserved for one more copy of a saturated model", func() {
	saturated := map[string]residency.Demand{
		"c": {ValuePerSecond: 10, Copies: 1, Saturated: 1},
		"d": {ValuePerSecond: 400, Copies: 8},
	}

	// Guards against unloading a copy to make room for a model that is then not loaded.
	It("is used for that model though another one has more demand", func() {
		t := newFakeTarget("a", "b")
		t.keeper.SetDemand(saturated)
		unload := t.takeOrder()
		Expect(unload).To(And(HaveField("Load", false), HaveField("For", "c"), HaveField("AddsCopy", true)))
		t.complete(unload)
		load := t.takeOrder()
		Expect(load).To(And(HaveField("Load", true), HaveField("Model", "c"), HaveField("AddsCopy", true)))
		t.complete(load)
		t.expectNoOrder()
	})

	// Guards against losing the reservation if the answer to the unload order was lost and only
	// a report shows that it was carried out.
	It("is used for that model also if the unload is seen in a report only", func() {
		t := newFakeTarget("a", "b")
		t.keeper.SetDemand(saturated)
		unload := t.takeOrder()
		t.keeper.HandleResult(unload, residency.OutcomeUnknown, t.now)
		t.report.Sequence++
		t.now = t.now.Add(200 * time.Millisecond)
		delete(t.report.Models, unload.Model)
		t.observe()
		Expect(t.takeOrder()).To(HaveField("Model", "c"))
	})

	// Guards against room that stays unused after the model's demand has ended.
	It("is released after a timeout", func() {
		t := newFakeTarget("a", "b")
		t.keeper.SetDemand(saturated)
		t.complete(t.takeOrder())
		t.now = t.now.Add(10 * time.Second)
		Expect(t.takeOrder()).To(HaveField("Model", "d"))
	})

	It("is used for a model that a request waits for", func() {
		t := newFakeTarget("a", "b")
		t.keeper.SetDemand(saturated)
		t.complete(t.takeOrder())
		_, resolved := t.addWaiter("1", "a", "", 1)
		Expect(resolved).To(BeFalse())
		load := t.takeOrder()
		Expect(load).To(HaveField("Model", "a"))
		t.complete(load)
	})
})
