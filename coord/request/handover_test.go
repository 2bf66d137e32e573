package request_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cowsliptiller/coord/request"
)

var _ = Describe("two attempts of a call", func() {
	now := time.Unix(1000, 0)

	// Guards against an answer that neither attempt continues, and one that both do.
	It("never both continue the answer, and one always may", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var h request.Handover
			at, second, moved, over := now, false, false, false
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				at = at.Add(rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, time.Second}).Draw(t, "time"))
				switch rapid.IntRange(0, 6).Draw(t, "step") {
				case 0:
					if h.MayBegin(at) {
						if second || moved || over {
							t.Fatal("a second attempt begins beside another, or after the call's end")
						}
						h.Begin()
						second = true
					}
				case 1:
					if over {
						continue // an attempt that has ended sends nothing
					}
					forward, outdated := h.Continue()
					if forward == moved {
						t.Fatalf("the first attempt may continue: %v, though the answer was handed over: %v", forward, moved)
					}
					if outdated != second {
						t.Fatalf("canceled: %v, in progress: %v", outdated, second)
					}
					second = false
				case 2:
					if h.TakeOver() != second {
						t.Fatal("an attempt that is not in progress takes over, or one that is does not")
					}
					moved, second = moved || second, false
				case 3:
					if second {
						h.Failed(at)
						second = false
					}
				case 4:
					answered := rapid.Bool().Draw(t, "answered")
					if over {
						continue
					}
					if h.End(answered) != (second && answered) {
						t.Fatal("a second attempt that is needed is canceled, or one that is not is kept")
					}
					second, over = second && !answered, true
				case 6:
					if h.MayBegin(at) {
						if second || moved || over {
							t.Fatal("the call leaves an attempt that does not continue it")
						}
						h.Leave()
						moved = true
					}
				case 5:
					if over && !second {
						h.Next()
						moved, over = false, false
					}
				}
			}
		})
	})

	// Guards against second attempts that follow each other at once and use up the fleet's retries.
	It("begin at growing intervals while the second one fails", func() {
		var h request.Handover
		var begun []time.Duration
		for after := time.Duration(0); after < 5*time.Second; after += 50 * time.Millisecond {
			if at := now.Add(after); h.MayBegin(at) {
				h.Begin()
				h.Failed(at)
				begun = append(begun, after)
			}
		}
		Expect(begun).To(Equal([]time.Duration{0, 250 * time.Millisecond, 750 * time.Millisecond, 1750 * time.Millisecond, 3750 * time.Millisecond}))
	})
})
