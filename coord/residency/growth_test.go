package residency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/residency"
)

var _ = Describe("room for one more copy of a saturated model", func() {
	saturated := map[string]residency.Demand{
		"c": {WorthPerSecond: 10, Copies: 1, Pressed: 1},
		"d": {WorthPerSecond: 400, Copies: 8},
	}

	// Guards against copies that are unloaded for a model which is then not loaded.
	It("goes to that model though another one is asked for more", func() {
		t := newTarget("a", "b")
		t.keeper.SetDemand(saturated)
		unload := t.next()
		Expect(unload).To(And(HaveField("Load", false), HaveField("For", "c"), HaveField("Grow", true)))
		t.done(unload)
		load := t.next()
		Expect(load).To(And(HaveField("Load", true), HaveField("Model", "c"), HaveField("Grow", true)))
		t.done(load)
		t.idle()
	})

	// Guards against room that is kept after an order whose answer was lost.
	It("goes to that model also where a report shows the unload", func() {
		t := newTarget("a", "b")
		t.keeper.SetDemand(saturated)
		unload := t.next()
		t.keeper.Answered(unload, residency.Unknown, t.now)
		t.report.Sequence++
		t.now = t.now.Add(200 * time.Millisecond)
		delete(t.report.Models, unload.Model)
		t.observe()
		Expect(t.next()).To(HaveField("Model", "c"))
	})

	// Guards against room that stands empty for a model that is not asked for any more.
	It("is free again after a time", func() {
		t := newTarget("a", "b")
		t.keeper.SetDemand(saturated)
		t.done(t.next())
		t.now = t.now.Add(10 * time.Second)
		Expect(t.next()).To(HaveField("Model", "d"))
	})

	It("goes to a model that a request waits for", func() {
		t := newTarget("a", "b")
		t.keeper.SetDemand(saturated)
		t.done(t.next())
		_, over := t.add("1", "a", "", 1)
		Expect(over).To(BeFalse())
		load := t.next()
		Expect(load).To(HaveField("Model", "a"))
		t.done(load)
	})
})
