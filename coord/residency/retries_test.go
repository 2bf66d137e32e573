package residency_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/residency"
)

// shortWait is less than an unload and a load from disk take.
const shortWait = 1500 * time.Millisecond

func (t *target) refuse(id, model string, retries bool) residency.Verdict {
	GinkgoHelper()
	w := residency.Want{ID: id, Model: model, Worth: 1, Until: t.now.Add(shortWait), Retries: retries}
	v, over := t.keeper.Add(w, t.now)
	Expect(over).To(BeTrue())
	Expect(v.Held).To(BeFalse())
	return v
}

var _ = Describe("demand that moves to a model which no target holds", func() {
	// Guards against refusing all callers of a model that nobody may wait for.
	It("loads the model for the retries of refused callers", func() {
		t := newTarget("a", "b")
		t.report.OnDisk = []string{"c"}
		t.observe()
		v := t.refuse("1", "c", true)
		Expect(v.Expected).To(BeTrue())
		retry := t.now.Add(v.RetryAfter)
		unload := t.next()
		Expect(unload).To(And(HaveField("Load", false), HaveField("For", "c")))
		t.done(unload)
		load := t.next()
		Expect(load).To(And(HaveField("Load", true), HaveField("Model", "c")))
		t.done(load)
		Expect(t.now).To(BeTemporally("<=", retry))
		v, over := t.add("2", "c", "", 1)
		Expect(over).To(BeTrue())
		Expect(v.Held).To(BeTrue())
		t.idle()
	})

	// Guards against loads of one model at all targets that refused a caller.
	It("loads nothing where no retry is expected", func() {
		t := newTarget("a", "b")
		t.report.OnDisk = []string{"c"}
		t.observe()
		Expect(t.refuse("1", "c", false).Expected).To(BeFalse())
		t.idle()
	})

	// Guards against loads for callers that do not retry.
	It("forgets retries whose time is over", func() {
		t := newTarget("a", "b")
		t.report.OnDisk = []string{"c"}
		t.observe()
		v := t.refuse("1", "c", true)
		t.now = t.now.Add(v.RetryAfter + 2*time.Second)
		t.keeper.Tick(t.now)
		t.idle()
	})

	// Guards against a weight store that is occupied by models which one caller asked for.
	It("loads from the weight store for several retries only", func() {
		t := newTarget("a", "b")
		Expect(t.refuse("1", "d", true).Expected).To(BeFalse())
		t.idle()
		for i := range 2 {
			t.refuse(fmt.Sprint(i), "d", true)
		}
		Expect(t.next()).To(And(HaveField("Load", false), HaveField("For", "d"), HaveField("Store", true)))
	})

	// Guards against a busy model that makes way for one retry.
	It("keeps a model whose callers are worth more", func() {
		t := newTarget("a", "b")
		t.report.OnDisk = []string{"c"}
		t.observe()
		t.keeper.SetDemand(map[string]residency.Demand{"a": {WorthPerSecond: 5, Copies: 1}, "b": {WorthPerSecond: 5, Copies: 1}})
		t.refuse("1", "c", true)
		t.idle()
	})
})
