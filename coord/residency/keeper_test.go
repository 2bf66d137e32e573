package residency_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/residency"
)

func TestResidency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "residency")
}

// target is a target with room for two models and two adapters, which carries out
// an order when the test says so.
type target struct {
	keeper *residency.Keeper
	report residency.Report
	now    time.Time
}

func newTarget(holds ...string) *target {
	t := &target{keeper: residency.NewKeeper(), now: time.Unix(1000, 0)}
	models := map[string]residency.Model{}
	for _, name := range []string{"a", "b", "c", "d"} {
		models[name] = residency.Model{
			WeightsMb: 100, AdapterMb: 1,
			FromStore: 6 * time.Second, FromDisk: 800 * time.Millisecond, FromHost: 400 * time.Millisecond,
		}
	}
	t.keeper.Configure(residency.Engine{WeightsMb: 210, AdapterPlaces: 2, Models: models})
	t.report = residency.Report{Instance: "i-1", Start: "i-1@1", Models: map[string][]string{}}
	for _, m := range holds {
		t.report.Models[m] = nil
	}
	t.observe()
	return t
}

func (t *target) observe() []residency.Verdict { return t.keeper.Observe(t.report, t.now) }

func (t *target) add(id, model, adapter string, worth float64) (residency.Verdict, bool) {
	w := residency.Want{ID: id, Model: model, Adapter: adapter, Worth: worth, Until: t.now.Add(10 * time.Second)}
	return t.keeper.Add(w, t.now)
}

// next expects an order and notes it as sent.
func (t *target) next() residency.Order {
	GinkgoHelper()
	o, ok := t.keeper.Next(t.now)
	Expect(ok).To(BeTrue(), "an order is due")
	t.keeper.Sent(o)
	return o
}

func (t *target) idle() {
	GinkgoHelper()
	o, ok := t.keeper.Next(t.now)
	Expect(ok).To(BeFalse(), "no order is due, got %+v", o)
}

// done carries an accepted order out and reports it.
func (t *target) done(o residency.Order) []residency.Verdict {
	t.keeper.Answered(o, residency.Accepted, t.now)
	t.report.Sequence++
	switch {
	case o.Adapter != "" && o.Load:
		t.report.Models[o.Model] = append(t.report.Models[o.Model], o.Adapter)
	case o.Adapter != "":
		t.report.Models[o.Model] = nil
	case o.Load:
		t.report.Models[o.Model] = nil
	default:
		delete(t.report.Models, o.Model)
	}
	t.now = t.now.Add(200 * time.Millisecond)
	return t.observe()
}

var _ = Describe("a target's keeper", func() {
	It("loads a wanted model into free room and settles all that wait for it", func() {
		t := newTarget()
		_, over := t.add("1", "a", "", 1)
		Expect(over).To(BeFalse())
		t.add("2", "a", "", 1)
		o := t.next()
		Expect(o).To(Equal(residency.Order{Load: true, Model: "a", Instance: "i-1", Store: true, For: "a"}))
		Expect(t.done(o)).To(ConsistOf(residency.Verdict{ID: "1", Held: true}, residency.Verdict{ID: "2", Held: true}))
		t.idle()
	})

	It("says at once that a held model is held, and that an unknown one cannot be", func() {
		t := newTarget("a")
		v, over := t.add("1", "a", "", 1)
		Expect(over).To(BeTrue())
		Expect(v.Held).To(BeTrue())
		v, over = t.add("2", "nowhere", "", 1)
		Expect(over).To(BeTrue())
		Expect(v.Held).To(BeFalse())
	})

	// A caller waits ten seconds for a model behind two loads from the store, and is
	// refused only then: it could have been told at once, and come back in time.
	It("refuses at once what would be ready too late, and says when it is", func() {
		t := newTarget()
		t.add("1", "a", "", 5)
		t.add("2", "b", "", 5)
		v, over := t.add("3", "c", "", 1)
		Expect(over).To(BeTrue())
		Expect(v.Held).To(BeFalse())
		Expect(v.RetryAfter).To(BeNumerically(">", 10*time.Second))
	})

	// Four targets load from the store, and it takes no fifth. A caller of another
	// model waited ten seconds and was refused then.
	It("refuses at once what the busy store makes too late, and says when it can be", func() {
		t := newTarget()
		t.add("1", "a", "", 1)
		Expect(t.keeper.StoreBusy(2*time.Second, t.now)).To(BeEmpty())
		v := t.keeper.StoreBusy(5*time.Second, t.now)
		Expect(v).To(HaveLen(1))
		Expect(v[0]).To(And(HaveField("ID", "1"), HaveField("Held", false), HaveField("RetryAfter", 11*time.Second)))
		t.report.OnDisk = []string{"b"}
		t.observe()
		_, over := t.add("2", "b", "", 1)
		Expect(over).To(BeFalse(), "a model on the target's disk needs no store")
	})

	It("drops the model that the fleet's callers ask for least", func() {
		t := newTarget("a", "b")
		t.keeper.SetDemand(map[string]residency.Demand{"a": {WorthPerSecond: 5, Copies: 1}, "b": {WorthPerSecond: 0.1, Copies: 1}})
		t.add("1", "c", "", 1)
		o := t.next()
		Expect(o.Load).To(BeFalse())
		Expect(o.Model).To(Equal("b"))
	})

	// Two busy models fill a target. One request for a rare model comes; dropping
	// either would send hundreds of requests elsewhere or to the store.
	It("keeps the only copies of busy models when a single request wants another", func() {
		t := newTarget("a", "b")
		t.keeper.SetDemand(map[string]residency.Demand{"a": {WorthPerSecond: 20, Copies: 1}, "b": {WorthPerSecond: 20, Copies: 1}})
		t.add("1", "c", "", 1)
		t.idle()
	})

	It("gives up a copy of a busy model that many targets hold", func() {
		t := newTarget("a", "b")
		t.keeper.SetDemand(map[string]residency.Demand{"a": {WorthPerSecond: 20, Copies: 9}, "b": {WorthPerSecond: 20, Copies: 1}})
		t.add("1", "c", "", 1)
		Expect(t.next().Model).To(Equal("a"))
	})

	It("leaves a model that has just been loaded for the requests that waited", func() {
		t := newTarget("b")
		t.add("1", "a", "", 1)
		t.done(t.next())
		t.keeper.SetDemand(map[string]residency.Demand{"b": {WorthPerSecond: 100, Copies: 1}})
		t.add("2", "c", "", 50)
		t.idle()
		t.now = t.now.Add(2 * time.Second)
		t.observe()
		Expect(t.next()).To(HaveField("Model", "a"))
	})

	// While a model was being loaded the agent ordered adapters; the target refused
	// each of them, ten a second, for as long as the load took.
	It("gives no order at all while the target is busy with one", func() {
		t := newTarget("a")
		t.report.Busy = true
		t.observe()
		t.add("1", "a", "x", 1)
		t.idle()
		t.report.Busy = false
		t.observe()
		Expect(t.next()).To(HaveField("Adapter", "x"))
	})

	// All places for adapters are taken, one by an adapter that a long stream uses.
	// The target refuses to drop that one, and the agent asked for it again and
	// again while another adapter lay idle.
	It("drops another adapter when the target refuses to drop one that is in use", func() {
		t := newTarget("a")
		t.report.Models["a"] = []string{"x", "y"}
		t.observe()
		t.add("1", "a", "z", 1)
		first := t.next()
		Expect(first.Load).To(BeFalse())
		t.keeper.Answered(first, residency.Refused, t.now)
		second := t.next()
		Expect(second.Load).To(BeFalse())
		Expect(second.Adapter).NotTo(Equal(first.Adapter))
	})

	// An order gets no answer and is carried out seconds later. If the agent gave
	// another one meanwhile on the same state, both would be carried out and the
	// target would hold more than fits: it crashes.
	It("sends an order without an answer again, unchanged, until the sequence moves", func() {
		t := newTarget()
		t.add("1", "a", "", 1)
		o := t.next()
		t.keeper.Answered(o, residency.Unknown, t.now)
		t.add("2", "b", "", 100)
		t.now = t.now.Add(150 * time.Millisecond)
		Expect(t.next()).To(Equal(o))
		t.keeper.Answered(o, residency.Refused, t.now)
		t.report.Sequence, t.report.Busy = 1, true
		t.observe()
		t.idle()
	})

	It("forgets what an earlier start of the target held", func() {
		t := newTarget("a")
		t.add("1", "b", "", 1)
		t.keeper.Answered(t.next(), residency.Unknown, t.now)
		t.report = residency.Report{Instance: "i-1", Start: "i-1@2", Models: map[string][]string{}}
		t.observe()
		t.now = t.now.Add(150 * time.Millisecond)
		Expect(t.next()).To(Equal(residency.Order{Load: true, Model: "b", Instance: "i-1", Store: true, For: "b"}))
	})

	It("fills a target that stands empty with the model whose next copy is worth most", func() {
		t := newTarget()
		t.keeper.SetDemand(map[string]residency.Demand{"a": {WorthPerSecond: 30, Copies: 1}, "b": {WorthPerSecond: 60, Copies: 5}})
		Expect(t.next()).To(HaveField("Model", "a"))
	})

	It("never has ordered more than the target has room for", func() {
		t := newTarget("a", "b")
		for i, m := range []string{"c", "d", "c", "d"} {
			t.add(string(rune('0'+i)), m, "", 100)
			for range 6 {
				o, ok := t.keeper.Next(t.now)
				if !ok {
					break
				}
				t.keeper.Sent(o)
				t.done(o)
				Expect(len(t.report.Models)).To(BeNumerically("<=", 2))
			}
			t.now = t.now.Add(2 * time.Second)
		}
	})
})

var _ = Describe("a busy model's further copies", func() {
	pressed := map[string]residency.Demand{
		"c": {WorthPerSecond: 40, Copies: 1, Pressed: 1}, "a": {WorthPerSecond: 0.2, Copies: 1}, "b": {WorthPerSecond: 3, Copies: 1},
	}

	// Demand moves to a model that one target holds. Its queue grows past its
	// callers' patience; no request asks for a second copy, since the model is held.
	It("are made by a target at ease in place of what is hardly asked for", func() {
		t := newTarget("a", "b")
		t.keeper.SetDemand(pressed)
		o := t.next()
		Expect(o).To(Equal(residency.Order{Model: "a", Instance: "i-1", Store: true, For: "c", Grow: true}))
		t.done(o)
		load := t.next()
		Expect(load).To(And(HaveField("Model", "c"), HaveField("Grow", true), HaveField("Load", true)))
	})

	It("are not made while one of its copies has room, nor by a target that is pressed itself", func() {
		t := newTarget("a", "b")
		t.keeper.SetDemand(map[string]residency.Demand{"c": {WorthPerSecond: 40, Copies: 2, Pressed: 1}})
		t.idle()
		t.keeper.SetDemand(pressed)
		t.report.Pressed = true
		t.observe()
		t.idle()
	})

	It("do not take the place of a model that is as busy", func() {
		t := newTarget("a", "b")
		t.keeper.SetDemand(map[string]residency.Demand{
			"c": {WorthPerSecond: 40, Copies: 1, Pressed: 1}, "a": {WorthPerSecond: 40, Copies: 1, Pressed: 1}, "b": {WorthPerSecond: 30, Copies: 1},
		})
		t.idle()
	})
})

var _ = Describe("the gate to the weight store", func() {
	now := time.Unix(1000, 0)
	rare := residency.Load{Model: "rare", Store: true, Usual: 6 * time.Second}

	// A new leader permits a full window of loads right after its predecessor did:
	// the store gets twice what it allows.
	It("takes the window for full when it is new", func() {
		g := residency.NewGate(2, 5*time.Second, now)
		ok, again := g.Ask("h1", rare, now)
		Expect(ok).To(BeFalse())
		Expect(again).To(BeNumerically(">", 0))
		ok, _ = g.Ask("h1", rare, now.Add(time.Second))
		Expect(ok).To(BeTrue())
	})

	It("never lets more begin in any window than the store allows", func() {
		g := residency.NewGate(2, 5*time.Second, now)
		var begun []time.Time
		for i := range 400 {
			at := now.Add(time.Duration(i) * 50 * time.Millisecond)
			if ok, _ := g.Ask("h", rare, at); ok {
				begun = append(begun, at)
				g.Done("h", rare.Model, at)
			}
		}
		Expect(len(begun)).To(BeNumerically(">=", 30))
		for i := range begun {
			n := 0
			for _, at := range begun[i:] {
				if at.Sub(begun[i]) < 5*time.Second {
					n++
				}
			}
			Expect(n).To(BeNumerically("<=", 11))
		}
	})

	It("keeps a place free for a busy model's copy, and lets overdue loads go", func() {
		g := residency.NewGate(100, 5*time.Second, now)
		at := now.Add(6 * time.Second)
		for _, h := range []string{"h1", "h2"} {
			ok, _ := g.Ask(h, rare, at)
			Expect(ok).To(BeTrue())
		}
		ok, again := g.Ask("h3", rare, at)
		Expect(ok).To(BeFalse())
		Expect(again).To(Equal(6 * time.Second))
		ok, _ = g.Ask("h4", residency.Load{Model: "busy", Store: true, Grow: true, Copies: 1}, at)
		Expect(ok).To(BeTrue())
		ok, _ = g.Ask("h5", rare, at.Add(time.Minute))
		Expect(ok).To(BeTrue())
	})

	It("lets a model at most double at a time", func() {
		g := residency.NewGate(100, 5*time.Second, now)
		grow := residency.Load{Model: "busy", Grow: true, Copies: 2}
		ok, _ := g.Ask("h1", grow, now)
		Expect(ok).To(BeTrue())
		ok, _ = g.Ask("h2", grow, now)
		Expect(ok).To(BeTrue())
		ok, _ = g.Ask("h3", grow, now)
		Expect(ok).To(BeFalse())
	})

	// Demand moves back to a model that was busy before. Targets that have it on their
	// disk ask a moment after one that has not: its load from the store kept them from
	// growing the model for six seconds, while callers were refused for its queue.
	It("leaves the growth of a model to targets that have a copy at hand", func() {
		g := residency.NewGate(100, 5*time.Second, now)
		far := residency.Load{Model: "busy", Store: true, Grow: true, Copies: 1, Near: 2}
		near := residency.Load{Model: "busy", Grow: true, Copies: 1, Near: 2}
		ok, _ := g.Ask("far", far, now)
		Expect(ok).To(BeFalse())
		ok, _ = g.Ask("near", near, now.Add(150*time.Millisecond))
		Expect(ok).To(BeTrue())
	})

	// The targets that have a copy cannot load it: they hold what is worth more. The
	// model's callers must not wait for them for good.
	It("takes the store for a model that no nearer target loads", func() {
		g := residency.NewGate(100, 5*time.Second, now)
		far := residency.Load{Model: "busy", Store: true, Grow: true, Copies: 1, Near: 2}
		granted := time.Duration(-1)
		for at := time.Duration(0); at < 5*time.Second && granted < 0; at += 200 * time.Millisecond {
			if ok, _ := g.Ask("far", far, now.Add(at)); ok {
				granted = at
			}
		}
		Expect(granted).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*time.Second)))
	})

	// An agent gives a permit back that it did not use. Told of it as of a load that
	// ended at once, control would take the store for faster than it is; and a word
	// that comes late must not end the load that was permitted since.
	It("learns nothing from a load that did not begin, and takes a late word for what it is", func() {
		g := residency.NewGate(100, 5*time.Second, now)
		at := now.Add(6 * time.Second)
		for i := range 6 {
			g.Ask(fmt.Sprint("h", i%2), rare, at)
			g.Done(fmt.Sprint("h", i%2), rare.Model, at.Add(100*time.Millisecond))
		}
		for _, h := range []string{"h0", "h1"} {
			ok, _ := g.Ask(h, rare, at.Add(time.Second))
			Expect(ok).To(BeTrue())
		}
		g.Done("h0", "another", at.Add(time.Second))
		ok, _ := g.Ask("h2", rare, at.Add(time.Second))
		Expect(ok).To(BeFalse())
	})

	// The store serves two at full speed. Six at once would each take three times as
	// long, and the first model would be there as late as the last.
	It("learns from how long loads take how many may run beside each other", func() {
		g := residency.NewGate(100, 5*time.Second, now)
		at := now.Add(6 * time.Second)
		for _, h := range []string{"h1", "h2"} {
			g.Ask(h, rare, at)
		}
		g.Ask("h3", residency.Load{Model: "busy", Store: true, Grow: true, Copies: 1, Usual: 6 * time.Second}, at)
		g.Done("h3", "busy", at.Add(9*time.Second))
		g.Done("h2", rare.Model, at.Add(6*time.Second))
		g.Done("h1", rare.Model, at.Add(6*time.Second))
		later := at.Add(10 * time.Second)
		ok, _ := g.Ask("h1", rare, later)
		Expect(ok).To(BeTrue())
		ok, _ = g.Ask("h2", rare, later)
		Expect(ok).To(BeFalse())
	})
})
