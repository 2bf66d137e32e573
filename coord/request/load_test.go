package request_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
)

// expectInvariants checks what must hold in every scenario: each call of a live entry host
// gets exactly one final answer by its deadline, and "not run" is reported only for calls
// that did not run.
func expectInvariants(s *simulation) {
	for _, c := range s.calls {
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

// capacity returns the calls per second that all targets can serve, for calls that use half
// of tokens on average.
func (s *simulation) capacity(tokens int64) float64 {
	total := 0.0
	for _, t := range s.targets {
		total += float64(t.slots) / (t.perToken * time.Duration(tokens/2+20)).Seconds()
	}
	return total
}

func (s *simulation) randomEntry() *entryHost { return s.entries[s.r.Intn(len(s.entries))] }

func ofWorkspace(ws string) func(*simCall) bool {
	return func(c *simCall) bool { return c.call.Workspace == ws }
}

func between(from, to time.Duration) func(*simCall) bool {
	return func(c *simCall) bool {
		at := c.pending.Arrived.Sub(start)
		return at >= from && at < to
	}
}

var _ = Describe("results under load", func() {
	const perToken = time.Millisecond

	// Guards against unbounded queues under overload: callers wait for the whole deadline and
	// are then refused or answered late.
	DescribeTable("overload and recovery", func(factor float64) {
		s := newSimulation(1, 3, 4, 8, perToken)
		load := factor * s.capacity(400)
		s.sendPoisson(load, start.Add(60*time.Second), func() { s.send(s.randomEntry(), "a", interactive, 400) })
		s.after(60*time.Second, func() {
			s.sendPoisson(0.5*s.capacity(400), start.Add(90*time.Second), func() { s.send(s.randomEntry(), "a", interactive, 400) })
		})
		s.run(100 * time.Second)
		expectInvariants(s)
		during, later := s.results(between(10*time.Second, 60*time.Second)), s.results(between(65*time.Second, 90*time.Second))
		AddReportEntry(fmt.Sprintf("at %.1f", factor), during.String())
		AddReportEntry("afterwards", later.String())
		Expect(float64(during.ok)).To(BeNumerically(">", 0.9*50*min(load, s.capacity(400))), "goodput")
		Expect(during.late).To(BeNumerically("<=", during.sent/100))
		Expect(later.ok).To(Equal(later.sent), "no backlog after the overload")
		expectEarlyRefusals(s)
	},
		Entry("0.8 times capacity", 0.8),
		Entry("1.2 times capacity", 1.2),
		Entry("2 times capacity", 2.0),
		Entry("5 times capacity", 5.0),
	)

	// Guards against starvation of small workspaces while a large one sends five times its
	// fair share.
	It("serves every workspace close to its fair share", func() {
		s := newSimulation(2, 3, 4, 8, perToken)
		fairShare := s.capacity(400) / 5
		until := start.Add(60 * time.Second)
		s.sendPoisson(5*fairShare, until, func() { s.send(s.randomEntry(), "large", interactive, 400) })
		for _, ws := range []string{"s1", "s2", "s3", "s4"} {
			s.sendPoisson(0.9*fairShare, until, func() { s.send(s.randomEntry(), ws, interactive, 400) })
		}
		s.run(70 * time.Second)
		expectInvariants(s)
		AddReportEntry("large", s.results(ofWorkspace("large")).String())
		for _, ws := range []string{"s1", "s2", "s3", "s4"} {
			stats := s.results(ofWorkspace(ws))
			AddReportEntry(ws, stats.String())
			Expect(float64(stats.ok)).To(BeNumerically(">", 0.9*float64(stats.sent)), ws)
		}
	})

	// Guards against head-of-line blocking: a short call waits for long calls that hold every
	// slot.
	It("answers short calls in time beside long calls, and completes the long calls", func() {
		s := newSimulation(3, 3, 4, 8, perToken)
		until := start.Add(120 * time.Second)
		s.sendPoisson(2*s.capacity(8000), until, func() { s.send(s.randomEntry(), "long", mustFinish, 8000) })
		s.sendPoisson(0.2*s.capacity(200), until, func() { s.send(s.randomEntry(), "short", interactive, 200) })
		s.run(800 * time.Second)
		expectInvariants(s)
		short, long := s.results(ofWorkspace("short")), s.results(ofWorkspace("long"))
		AddReportEntry("short", short.String())
		AddReportEntry("long", long.String())
		Expect(short.ok).To(Equal(short.sent))
		Expect(short.quantile(0.99)).To(BeNumerically("<", 400*time.Millisecond))
		Expect(long.ok).To(Equal(long.sent))
	})

	// One of four targets slows down to a fifth of its speed, so that calls routed to it are
	// late.
	It("meets deadlines with one slow target", func() {
		s := newSimulation(4, 3, 4, 8, perToken)
		s.after(10*time.Second, func() { s.targets[0].perToken = 5 * perToken })
		s.sendPoisson(0.7*s.capacity(400), start.Add(60*time.Second), func() { s.send(s.randomEntry(), "a", interactive, 400) })
		s.run(70 * time.Second)
		expectInvariants(s)
		stats := s.results(between(0, time.Minute))
		AddReportEntry("slow target", stats.String())
		Expect(float64(stats.ok)).To(BeNumerically(">", 0.98*float64(stats.sent)))
	})

	// Guards against losing or refusing the calls in the queue of a target that drains.
	It("loses nothing when a target leaves under load", func() {
		s := newSimulation(5, 3, 4, 8, perToken)
		s.after(20*time.Second, func() {
			t := s.targets[0]
			for _, r := range t.queue.Drain() {
				c := s.find(r.ID)
				s.after(networkDelay, func() { s.handleRefusal(t, c, c.attempt, r.Err) })
			}
		})
		s.after(21*time.Second, func() { s.targets = s.targets[1:] })
		s.sendPoisson(0.5*s.capacity(400), start.Add(60*time.Second), func() { s.send(s.randomEntry(), "a", interactive, 400) })
		s.run(70 * time.Second)
		expectInvariants(s)
		stats := s.results(between(0, time.Minute))
		AddReportEntry("leaving", stats.String())
		Expect(stats.ok).To(Equal(stats.sent))
	})

	// An entry host fails. The calls that it left at the targets must not overload the other
	// hosts, which take over its callers.
	It("serves the other hosts' callers when an entry host is lost", func() {
		s := newSimulation(6, 3, 4, 8, perToken)
		s.after(20*time.Second, func() { s.entries[0].dead = true })
		s.sendPoisson(0.8*s.capacity(400), start.Add(60*time.Second), func() {
			e := s.randomEntry()
			for e.dead {
				e = s.randomEntry()
			}
			s.send(e, "a", interactive, 400)
		})
		s.run(70 * time.Second)
		expectInvariants(s)
		stats := s.results(func(c *simCall) bool { return !c.entry.dead })
		AddReportEntry("entry host lost", stats.String())
		Expect(float64(stats.ok)).To(BeNumerically(">", 0.99*float64(stats.sent)))
	})

	// A burst of first requests arrives at every entry host while the model is loading. Each is
	// answered once the model is ready, or refused at once if that is after its deadline.
	It("holds a burst of first requests until the model is ready", func() {
		s := newSimulation(7, 3, 1, 8, perToken)
		for _, e := range s.entries {
			Expect(e.admission.SetForecast(dest, true, start.Add(2500*time.Millisecond), start)).To(BeEmpty())
			for range 10 {
				s.send(e, "a", interactive, 200)
			}
		}
		s.run(2 * time.Second)
		Expect(s.results(between(0, time.Minute)).ok).To(BeZero())
		s.run(8 * time.Second)
		expectInvariants(s)
		stats := s.results(between(0, time.Minute))
		AddReportEntry("burst", stats.String())
		Expect(stats.ok).To(Equal(30))
		for _, e := range s.entries {
			e.admission.SetForecast(dest, true, s.now.Add(6*time.Second), s.now)
			c := s.send(e, "a", interactive, 200)
			Expect(c.answered).To(Equal(s.now), "refused at once")
			Expect(c.err.Kind).To(Equal(fault.NoCapacity))
			Expect(c.err.RetryAfter).To(BeNumerically(">", 2*time.Second))
		}
	})
})

// expectEarlyRefusals reports how many refusals came within half of the deadline, and checks
// that refusals for overload carry a RetryAfter.
func expectEarlyRefusals(s *simulation) {
	early, refused := 0, 0
	for _, c := range s.calls {
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
