package request_test

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
)

// newFailedCall returns a call whose first attempt failed with an error of the kind, and that
// error.
func newFailedCall(class request.Class, kind fault.Kind, proof bool) (*request.Call, *fault.Error) {
	c := request.NewCall("c", "w", class, start.Add(class.Deadline))
	a, _ := c.Begin("a1", "t1", start)
	c.HandOver(a, start)
	return c, c.Fail(a, fault.New(kind, "x"), proof)
}

var _ = Describe("retries", func() {
	// Guards against a retry storm: a short failure of all targets lasts because retries
	// multiply the load on the targets that recover.
	It("keeps retries to a tenth of successes when everything fails", func() {
		r := rand.New(rand.NewSource(1))
		b := request.NewRetryBudget()
		retries := func(calls int, down bool) (n int) {
			for range calls {
				c, e := newFailedCall(interactive, fault.TargetFailed, false)
				for at := start; ; {
					pause, again := b.Retry(c, e, at, r)
					if !again {
						break
					}
					n++
					at = at.Add(pause)
					a, _ := c.Begin(fmt.Sprint(n), "t2", at)
					c.HandOver(a, at)
					e = c.Fail(a, fault.New(fault.TargetFailed, "x"), false)
				}
				if !down {
					b.RecordSuccess()
				}
			}
			return n
		}
		Expect(retries(10_000, true)).To(Equal(10), "only the reserve")
		up := retries(10_000, false)
		Expect(up).To(BeNumerically("~", 1000, 10))
	})

	// Guards against a duplicate order: a confirmation is retried after its answer was lost.
	It("never retries a non-repeatable call after hand-over", func() {
		r := rand.New(rand.NewSource(1))
		for _, k := range fault.Kinds() {
			c, e := newFailedCall(nonRepeatable, k, false)
			_, again := request.NewRetryBudget().Retry(c, e, start, r)
			Expect(again).To(BeFalse(), string(k))
		}
		c, e := newFailedCall(nonRepeatable, fault.Leaving, true)
		_, again := request.NewRetryBudget().Retry(c, e, start, r)
		Expect(again).To(BeTrue(), "proven not run")
	})

	It("retries at once after a stale-view refusal, otherwise with a pause, and never past the deadline", func() {
		r := rand.New(rand.NewSource(1))
		b := request.NewRetryBudget()
		c, e := newFailedCall(interactive, fault.NotHere, true)
		pause, again := b.Retry(c, e, start, r)
		Expect(pause).To(BeZero())
		Expect(again).To(BeTrue())
		c, e = newFailedCall(interactive, fault.Overloaded, true)
		e.RetryAfter = 100 * time.Millisecond
		pause, again = b.Retry(c, e, start, r)
		Expect(again).To(BeTrue())
		Expect(pause).To(BeNumerically(">", 100*time.Millisecond))
		_, again = b.Retry(c, e, c.Deadline.Add(-50*time.Millisecond), r)
		Expect(again).To(BeFalse())
	})

	It("hedges only a repeatable interactive call, once, within the budget", func() {
		b := request.NewRetryBudget()
		call := func(class request.Class) *request.Call {
			c := request.NewCall("c", "w", class, start.Add(time.Second))
			a, _ := c.Begin("a1", "t1", start)
			c.HandOver(a, start)
			return c
		}
		Expect(b.Hedge(call(interactive), 90*time.Millisecond, 100*time.Millisecond)).To(BeFalse(), "too early")
		Expect(b.Hedge(call(nonRepeatable), time.Second, 100*time.Millisecond)).To(BeFalse())
		Expect(b.Hedge(call(mustFinish), time.Second, 100*time.Millisecond)).To(BeFalse())
		for range 10 {
			Expect(b.Hedge(call(interactive), time.Second, 100*time.Millisecond)).To(BeTrue())
		}
		Expect(b.Hedge(call(interactive), time.Second, 100*time.Millisecond)).To(BeFalse(), "no budget")
	})

	// Guards against sending a recovered target its full share at once, with cold caches, so
	// that it fails again.
	It("opens a circuit after consecutive failures and closes it gradually", func() {
		var c request.CircuitBreaker
		now := start
		for range 4 {
			c.RecordFailure(now)
		}
		Expect(c.TrafficShare(now)).To(Equal(1.0))
		c.RecordFailure(now)
		Expect(c.TrafficShare(now)).To(Equal(0.0))
		now = now.Add(time.Second)
		Expect(c.TrafficShare(now)).To(Equal(0.1))
		c.RecordFailure(now)
		Expect(c.TrafficShare(now.Add(1900 * time.Millisecond))).To(Equal(0.0))
		now = now.Add(2 * time.Second)
		shares := []float64{}
		for c.TrafficShare(now) < 1 {
			shares = append(shares, c.TrafficShare(now))
			c.RecordSuccess(now)
		}
		Expect(len(shares)).To(BeNumerically("~", 9, 1))
	})
})

var _ = Describe("a request that crashes its targets", func() {
	// A request crashes each target that runs it, and its caller retries it. The requests of
	// the first crashed batch must still be served, and at most three targets may crash.
	It("is identified by rerunning the batch one at a time, and refused after the second strike", func() {
		bad := request.FingerprintOf("w", "m", "/v1/completions", []byte("bad"))
		good := request.FingerprintOf("w", "m", "/v1/completions", []byte("good"))
		strikes := map[request.Fingerprint]request.Strikes{}
		crashes, served, refused := 0, 0, 0
		alone := map[request.Fingerprint]bool{}
		run := func(batch ...request.Fingerprint) {
			crashed := false
			for _, f := range batch {
				crashed = crashed || f == bad
			}
			if !crashed {
				served += len(batch)
				return
			}
			crashes++
			for _, f := range batch {
				after := request.AfterCrash(len(batch)-1, true)
				alone[f] = alone[f] || after.RerunAlone
				if after.Strike {
					strikes[f] = request.Strikes{Count: strikes[f].Count + 1, Expires: start.Add(request.StrikeTTL)}
				}
			}
		}
		run(good, bad, good)
		for range 10 {
			if request.CheckStrikes(strikes[bad], start) != nil {
				refused++
				continue
			}
			Expect(alone[bad]).To(BeTrue())
			run(bad)
		}
		run(good)
		run(good)
		Expect([]int{crashes, served, refused}).To(Equal([]int{3, 2, 8}))
		Expect(strikes).NotTo(HaveKey(good))
		Expect(request.MustRunAlone(request.Strikes{Count: 1, Expires: start.Add(time.Hour)}, start)).To(BeTrue())
		err := request.CheckStrikes(strikes[bad], start)
		Expect(fault.Is(err, fault.Quarantined)).To(BeTrue())
		Expect(request.CheckStrikes(strikes[bad], start.Add(request.StrikeTTL))).To(Succeed(), "strikes have expired")
	})

	It("is identified by its content within its workspace", func() {
		f := request.FingerprintOf("w", "m", "p", []byte("x"))
		Expect(request.FingerprintOf("w", "m", "p", []byte("x"))).To(Equal(f))
		Expect(request.FingerprintOf("v", "m", "p", []byte("x"))).NotTo(Equal(f))
		Expect(request.FingerprintOf("w", "mp", "", []byte("x"))).NotTo(Equal(f))
	})
})
