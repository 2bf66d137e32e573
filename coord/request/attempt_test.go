package request_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
)

var _ = Describe("whether a call ran", func() {
	// Guards against a duplicate order: an attempt is handed over, its answer is lost, and the
	// caller places the order again because it is told "not run".
	It("never reports a call as not run after hand-over without proof", func() {
		c := request.NewCall("c", "w", nonRepeatable, start.Add(time.Second))
		a, err := c.Begin("a1", "t1", start)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.HandOver(a, start)).To(BeTrue())
		e := c.Fail(a, fault.New(fault.Unavailable, "connection lost"), false)
		Expect(e.Ran).To(Equal(fault.RanUnknown))
		_, err = c.Begin("a2", "t2", start)
		Expect(err).To(HaveOccurred())
		final, ok := c.Resolve(e)
		Expect(ok).To(BeTrue())
		Expect(final.Ran).To(Equal(fault.RanUnknown))
		Expect(final.Kind).To(Equal(fault.TargetFailed))
		Expect(final.Repeatable).To(BeFalse())
	})

	// Guards against a duplicate order: two attempts are begun before either is sent.
	It("hands over only one attempt of a call that may not be repeated", func() {
		c := request.NewCall("c", "w", nonRepeatable, start.Add(time.Second))
		a, _ := c.Begin("a1", "t1", start)
		b, err := c.Begin("a2", "t2", start)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.HandOver(a, start)).To(BeTrue())
		Expect(c.HandOver(b, start)).To(BeFalse())
	})

	// Guards against a second answer: the reply to an abandoned attempt arrives after the
	// final answer.
	It("drops what comes after the final answer", func() {
		c := request.NewCall("c", "w", interactive, start.Add(time.Second))
		a, _ := c.Begin("a1", "t1", start)
		c.HandOver(a, start)
		final, ok := c.Resolve(fault.New(fault.Expired, "the deadline passed"))
		Expect(ok).To(BeTrue())
		Expect(final.Kind).To(Equal(fault.Timeout))
		Expect(final.Ran).To(Equal(fault.RanUnknown))
		Expect(c.MarkAccepted(a)).To(BeFalse())
		Expect(c.MarkFinished(a)).To(BeFalse())
		_, ok = c.Resolve(nil)
		Expect(ok).To(BeFalse())
	})

	It("reports not run only when no attempt can have reached a target", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			class := interactive
			class.Repeatable = rapid.Bool().Draw(t, "repeatable")
			c := request.NewCall("c", "w", class, start.Add(time.Second))
			now := start
			n, answers, handed := 0, 0, 0
			var attempts []*request.Attempt
			reached := map[*request.Attempt]bool{} // attempts that reached a target
			pick := func(t *rapid.T) *request.Attempt {
				if len(attempts) == 0 {
					t.Skip()
				}
				return rapid.SampledFrom(attempts).Draw(t, "attempt")
			}
			kind := func(t *rapid.T) error {
				return fault.New(rapid.SampledFrom(fault.Kinds()).Draw(t, "kind"), "x")
			}
			check := func(t *rapid.T, e *fault.Error) {
				if e != nil && e.Ran == fault.RanNo && len(reached) > 0 {
					t.Fatalf("%v reports not run, but a target was reached", e)
				}
			}
			t.Repeat(map[string]func(*rapid.T){
				"begin": func(t *rapid.T) {
					n++
					if a, err := c.Begin(fmt.Sprint(n), "t", now); err == nil {
						attempts = append(attempts, a)
					}
				},
				"hand over": func(t *rapid.T) {
					a := pick(t)
					if c.HandOver(a, now) {
						handed++
						reached[a] = true
					}
				},
				"refused with proof": func(t *rapid.T) {
					a := pick(t)
					if a.State() == request.HandedOver {
						e := c.Fail(a, fault.New(fault.Overloaded, "x"), true)
						delete(reached, a) // the agent's proof is correct
						if e.Ran != fault.RanNo {
							t.Fatalf("%v despite proof that it did not run", e)
						}
					}
				},
				"fail":   func(t *rapid.T) { c.Fail(pick(t), kind(t), false) },
				"accept": func(t *rapid.T) { c.MarkAccepted(pick(t)) },
				"finish": func(t *rapid.T) { c.MarkFinished(pick(t)) },
				"answer": func(t *rapid.T) {
					e, ok := c.Resolve(kind(t))
					if ok {
						answers++
					}
					check(t, e)
				},
				"advance": func(*rapid.T) { now = now.Add(50 * time.Millisecond) },
				"": func(t *rapid.T) {
					if answers > 1 {
						t.Fatalf("%d final answers", answers)
					}
					if c.Ran() == fault.RanNo && len(reached) > 0 {
						t.Fatalf("not run, but a target was reached")
					}
					if !class.Repeatable && len(reached) > 1 {
						t.Fatalf("%d runs of a call that may not be repeated", len(reached))
					}
				},
			})
		})
	})

	It("uses the earlier of the class deadline and the caller's deadline", func() {
		at, err := interactive.DeadlineOf(start, time.Second)
		Expect(at, err).To(Equal(start.Add(time.Second)))
		at, err = interactive.DeadlineOf(start, time.Hour)
		Expect(at, err).To(Equal(start.Add(interactive.Deadline)))
		Expect(interactive.Band).To(Equal(fair.Interactive))
	})
})
