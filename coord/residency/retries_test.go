package residency_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/residency"
)

// shortWait is shorter than an unload and a load from disk.
const shortWait = 1500 * time.Millisecond

// expectRefused adds a request with a short wait and expects that it is refused at once.
func (t *fakeTarget) expectRefused(id, model string, retries bool) residency.WaitResult {
	GinkgoHelper()
	w := residency.Waiter{ID: id, Model: model, Value: 1, Deadline: t.now.Add(shortWait), WillRetry: retries}
	v, resolved := t.keeper.Add(w, t.now)
	Expect(resolved).To(BeTrue())
	Expect(v.Held).To(BeFalse())
	return v
}

var _ = Describe("demand that moves to a model that no target holds", func() {
	// Guards against refusing every caller of a model that is never loaded, because none of them
	// can wait long enough.
	It("loads the model for the retries of refused callers", func() {
		t := newFakeTarget("a", "b")
		t.report.OnDisk = []string{"c"}
		t.observe()
		v := t.expectRefused("1", "c", true)
		Expect(v.WillLoad).To(BeTrue())
		retry := t.now.Add(v.RetryAfter)
		unload := t.takeOrder()
		Expect(unload).To(And(HaveField("Load", false), HaveField("For", "c")))
		t.complete(unload)
		load := t.takeOrder()
		Expect(load).To(And(HaveField("Load", true), HaveField("Model", "c")))
		t.complete(load)
		Expect(t.now).To(BeTemporally("<=", retry))
		v, resolved := t.addWaiter("2", "c", "", 1)
		Expect(resolved).To(BeTrue())
		Expect(v.Held).To(BeTrue())
		t.expectNoOrder()
	})

	// Guards against loading a model at every target that refused a caller: only one gets the retry.
	It("loads nothing where no retry is expected", func() {
		t := newFakeTarget("a", "b")
		t.report.OnDisk = []string{"c"}
		t.observe()
		Expect(t.expectRefused("1", "c", false).WillLoad).To(BeFalse())
		t.expectNoOrder()
	})

	// Guards against loading models for callers that did not retry.
	It("expires retries that did not come", func() {
		t := newFakeTarget("a", "b")
		t.report.OnDisk = []string{"c"}
		t.observe()
		v := t.expectRefused("1", "c", true)
		t.now = t.now.Add(v.RetryAfter + 2*time.Second)
		t.keeper.Tick(t.now)
		t.expectNoOrder()
	})

	// Guards against occupying the weight store with models that a single caller asked for.
	It("loads from the weight store only for several expected retries", func() {
		t := newFakeTarget("a", "b")
		Expect(t.expectRefused("1", "d", true).WillLoad).To(BeFalse())
		t.expectNoOrder()
		for i := range 2 {
			t.expectRefused(fmt.Sprint(i), "d", true)
		}
		Expect(t.takeOrder()).To(And(HaveField("Load", false), HaveField("For", "d"), HaveField("FromStore", true)))
	})

	// Guards against evicting a busy model for one retry.
	It("keeps a model whose demand has a higher value", func() {
		t := newFakeTarget("a", "b")
		t.report.OnDisk = []string{"c"}
		t.observe()
		t.keeper.SetDemand(map[string]residency.Demand{"a": {ValuePerSecond: 5, Copies: 1}, "b": {ValuePerSecond: 5, Copies: 1}})
		t.expectRefused("1", "c", true)
		t.expectNoOrder()
	})
})
