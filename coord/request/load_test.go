package request_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
)

// promises checks what holds in every case: one final answer to each call whose entry
// host lives, by its deadline, and "not run" only of calls that did not run.
func promises(p *play) {
	for _, c := range p.calls {
		if c.entry.dead {
			continue
		}
		Expect(c.answers).To(Equal(1), c.call.ID)
		Expect(c.answered).NotTo(BeTemporally(">", c.call.Deadline), c.call.ID)
		if c.err != nil && c.err.Ran == fault.RanNo {
			Expect(c.ran).To(BeFalse(), "%s: %v", c.call.ID, c.err)
		}
	}
}

// capacity is in calls a second, for calls of up to tokens that use half on average.
func (p *play) capacity(tokens int64) float64 {
	total := 0.0
	for _, t := range p.targets {
		total += float64(t.full) / (t.perToken * time.Duration(tokens/2+20)).Seconds()
	}
	return total
}

func (p *play) anyEntry() *entryHost { return p.entries[p.r.Intn(len(p.entries))] }

func ofWorkspace(ws string) func(*playCall) bool {
	return func(c *playCall) bool { return c.call.Workspace == ws }
}

func between(from, to time.Duration) func(*playCall) bool {
	return func(c *playCall) bool {
		at := c.pending.Arrived.Sub(start)
		return at >= from && at < to
	}
}

var _ = Describe("what callers get under load", func() {
	const perToken = time.Millisecond

	// At a gate a driver waits out the whole deadline and is refused then, or is
	// answered late, because queues grow without bound.
	DescribeTable("saturation and back", func(factor float64) {
		p := newPlay(1, 3, 4, 8, perToken)
		load := factor * p.capacity(400)
		p.poisson(load, start.Add(60*time.Second), func() { p.send(p.anyEntry(), "a", interactive, 400) })
		p.after(60*time.Second, func() {
			p.poisson(0.5*p.capacity(400), start.Add(90*time.Second), func() { p.send(p.anyEntry(), "a", interactive, 400) })
		})
		p.run(100 * time.Second)
		promises(p)
		during, later := p.got(between(10*time.Second, 60*time.Second)), p.got(between(65*time.Second, 90*time.Second))
		AddReportEntry(fmt.Sprintf("at %.1f", factor), during.String())
		AddReportEntry("afterwards", later.String())
		Expect(float64(during.ok)).To(BeNumerically(">", 0.9*50*min(load, p.capacity(400))), "goodput holds")
		Expect(during.late).To(BeNumerically("<=", during.sent/100))
		Expect(later.ok).To(Equal(later.sent), "nothing stays behind")
		refusals(p)
	},
		Entry("0.8 times capacity", 0.8),
		Entry("1.2 times capacity", 1.2),
		Entry("2 times capacity", 2.0),
		Entry("5 times capacity", 5.0),
	)

	// Small shops are starved while a large buyer sends five times its part.
	It("keeps the worst-served workspace near what it is owed", func() {
		p := newPlay(2, 3, 4, 8, perToken)
		fairShare := p.capacity(400) / 5
		until := start.Add(60 * time.Second)
		p.poisson(5*fairShare, until, func() { p.send(p.anyEntry(), "large", interactive, 400) })
		for _, ws := range []string{"s1", "s2", "s3", "s4"} {
			p.poisson(0.9*fairShare, until, func() { p.send(p.anyEntry(), ws, interactive, 400) })
		}
		p.run(70 * time.Second)
		promises(p)
		AddReportEntry("large", p.got(ofWorkspace("large")).String())
		for _, ws := range []string{"s1", "s2", "s3", "s4"} {
			f := p.got(ofWorkspace(ws))
			AddReportEntry(ws, f.String())
			Expect(float64(f.ok)).To(BeNumerically(">", 0.9*float64(f.sent)), ws)
		}
	})

	// A counter request waits for the end of long briefs that took every place.
	It("answers short calls beside long work, and moves the long work", func() {
		p := newPlay(3, 3, 4, 8, perToken)
		until := start.Add(120 * time.Second)
		p.poisson(2*p.capacity(8000), until, func() { p.send(p.anyEntry(), "briefs", mustFinish, 8000) })
		p.poisson(0.2*p.capacity(200), until, func() { p.send(p.anyEntry(), "counter", interactive, 200) })
		p.run(800 * time.Second)
		promises(p)
		short, long := p.got(ofWorkspace("counter")), p.got(ofWorkspace("briefs"))
		AddReportEntry("short", short.String())
		AddReportEntry("long", long.String())
		Expect(short.ok).To(Equal(short.sent))
		Expect(short.quantile(0.99)).To(BeNumerically("<", 400*time.Millisecond))
		Expect(long.ok).To(Equal(long.sent))
	})

	// One target of four runs at a fifth of its speed: calls that land there are late.
	It("meets deadlines beside a slow target", func() {
		p := newPlay(4, 3, 4, 8, perToken)
		p.after(10*time.Second, func() { p.targets[0].perToken = 5 * perToken })
		p.poisson(0.7*p.capacity(400), start.Add(60*time.Second), func() { p.send(p.anyEntry(), "a", interactive, 400) })
		p.run(70 * time.Second)
		promises(p)
		f := p.got(between(0, time.Minute))
		AddReportEntry("slow target", f.String())
		Expect(float64(f.ok)).To(BeNumerically(">", 0.98*float64(f.sent)))
	})

	// Calls in the queue of a target that leaves are lost or refused.
	It("loses nothing when a target leaves under load", func() {
		p := newPlay(5, 3, 4, 8, perToken)
		p.after(20*time.Second, func() {
			t := p.targets[0]
			for _, r := range t.queue.Drain() {
				c := p.find(r.ID)
				p.after(hop, func() { p.refused(t, c, c.attempt, r.Err) })
			}
		})
		p.after(21*time.Second, func() { p.targets = p.targets[1:] })
		p.poisson(0.5*p.capacity(400), start.Add(60*time.Second), func() { p.send(p.anyEntry(), "a", interactive, 400) })
		p.run(70 * time.Second)
		promises(p)
		f := p.got(between(0, time.Minute))
		AddReportEntry("leaving", f.String())
		Expect(f.ok).To(Equal(f.sent))
	})

	// An entry host dies; its callers come back to the others, which must not be taken
	// down by what the dead one left at the targets.
	It("serves the other hosts' callers when an entry host is lost", func() {
		p := newPlay(6, 3, 4, 8, perToken)
		p.after(20*time.Second, func() { p.entries[0].dead = true })
		p.poisson(0.8*p.capacity(400), start.Add(60*time.Second), func() {
			e := p.anyEntry()
			for e.dead {
				e = p.anyEntry()
			}
			p.send(e, "a", interactive, 400)
		})
		p.run(70 * time.Second)
		promises(p)
		f := p.got(func(c *playCall) bool { return !c.entry.dead })
		AddReportEntry("entry host lost", f.String())
		Expect(float64(f.ok)).To(BeNumerically(">", 0.99*float64(f.sent)))
	})

	// A burst of first requests at every entry host while the model loads: each is
	// answered once it is there, or refused at once when it cannot be in time.
	It("holds a burst of first requests until the model is there", func() {
		p := newPlay(7, 3, 1, 8, perToken)
		for _, e := range p.entries {
			Expect(e.admission.Forecast(dest, true, start.Add(2500*time.Millisecond), start)).To(BeEmpty())
			for range 10 {
				p.send(e, "a", interactive, 200)
			}
		}
		p.run(2 * time.Second)
		Expect(p.got(between(0, time.Minute)).ok).To(BeZero())
		p.run(8 * time.Second)
		promises(p)
		f := p.got(between(0, time.Minute))
		AddReportEntry("burst", f.String())
		Expect(f.ok).To(Equal(30))
		for _, e := range p.entries {
			e.admission.Forecast(dest, true, p.now.Add(6*time.Second), p.now)
			c := p.send(e, "a", interactive, 200)
			Expect(c.answered).To(Equal(p.now), "refused at once")
			Expect(c.err.Kind).To(Equal(fault.NoCapacity))
			Expect(c.err.RetryAfter).To(BeNumerically(">", 2*time.Second))
		}
	})
})

// refusals checks that whoever is refused is told early and when to come back.
func refusals(p *play) {
	early, refused := 0, 0
	for _, c := range p.calls {
		if c.err == nil || c.err.Ran != fault.RanNo {
			continue
		}
		refused++
		if c.answered.Sub(c.pending.Arrived) < c.call.Class.Deadline/2 {
			early++
		}
		if c.err.Kind == fault.Overloaded {
			Expect(c.err.RetryAfter).To(BeNumerically(">", 0), c.err.Message)
		}
	}
	AddReportEntry("refused within half of the deadline", fmt.Sprintf("%d of %d", early, refused))
}
