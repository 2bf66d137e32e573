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

// crashed returns the strikes after crashes at the given points of the answer.
func crashed(progress ...uint64) []request.SharedStrike {
	var out []request.SharedStrike
	for i, p := range progress {
		at := start.Add(time.Duration(i) * time.Second)
		out = request.AddSharedStrike(out, request.SharedStrike{Crash: fmt.Sprint("c", i), Progress: p, At: at}, at)
	}
	return out
}

var _ = Describe("shared strikes", func() {
	// Guards against refusing a stream whose targets end by themselves: each run gets further.
	It("do not add up while each run gets further than the one before", func() {
		Expect(crashed(3, 7, 20)).To(HaveLen(1))
		Expect(crashed(0, 0, 0)).To(HaveLen(3))
		Expect(crashed(5, 5, 5)).To(HaveLen(3))
	})

	// Guards against counting one crash several times: a caller may have sent its request twice.
	It("count a target's end once", func() {
		s := request.SharedStrike{Crash: request.CrashID("i-1", 17)}
		Expect(request.AddSharedStrike([]request.SharedStrike{s}, s, start)).To(HaveLen(1))
		Expect(request.CrashID("i-1", 18)).NotTo(Equal(s.Crash), "another lifetime")
	})

	// Guards against refusing what many callers send when several targets fail at once.
	It("count once for runs that began before the first of them", func() {
		var strikes []request.SharedStrike
		for i := range 20 {
			strikes = request.AddSharedStrike(strikes, request.SharedStrike{Crash: fmt.Sprint(i), At: start}, start.Add(-time.Second))
		}
		Expect(request.CountShared(strikes)).To(Equal(1))
		strikes = request.AddSharedStrike(strikes, request.SharedStrike{Crash: "later", At: start.Add(time.Second)}, start)
		Expect(request.CountShared(strikes)).To(Equal(2))
		Expect(len(strikes)).To(BeNumerically("<=", 8))
	})

	It("refuse a request with a time to return, together with strikes of requests that ran alone", func() {
		expires := start.Add(time.Minute)
		for _, s := range []request.Strikes{{Shared: 3}, {Count: 2}, {Count: 1, Shared: 2}} {
			s.Expires = expires
			err := request.CheckStrikes(s, start)
			Expect(fault.Is(err, fault.Quarantined)).To(BeTrue())
			Expect(fault.From(err).RetryAfter).To(Equal(time.Minute))
			Expect(request.CheckStrikes(s, expires)).To(Succeed())
		}
		for _, s := range []request.Strikes{{Shared: 2}, {Count: 1}, {Count: 1, Shared: 1}} {
			s.Expires = expires
			Expect(request.CheckStrikes(s, start)).To(Succeed())
		}
		s := request.WithShared(request.Strikes{Expires: start.Add(request.StrikeTTL)}, crashed(0, 0, 0))
		Expect(fault.From(request.CheckStrikes(s, start.Add(2*time.Second))).RetryAfter).To(Equal(request.FirstRefusal))
		after := start.Add(2*time.Second + request.FirstRefusal)
		Expect(request.CheckStrikes(s, after)).To(Succeed())
		Expect(request.MustPace(s, after)).To(BeTrue(), "it is tried again, paced")
		s = request.WithShared(request.Strikes{Expires: after.Add(request.StrikeTTL)}, crashed(0, 0, 0, 0))
		Expect(fault.From(request.CheckStrikes(s, start.Add(3*time.Second))).RetryAfter).To(Equal(request.StrikeTTL))
		Expect(request.MustPace(request.Strikes{Shared: 2, Expires: expires}, start)).To(BeTrue())
		Expect(request.MustPace(request.Strikes{Shared: 1, Expires: expires}, start)).To(BeFalse())
	})

	It("are no evidence where the target was leaving, or its host may have failed", func() {
		Expect(request.IsCrash(true, false)).To(BeTrue())
		Expect(request.IsCrash(true, true)).To(BeFalse())
		Expect(request.IsCrash(false, false)).To(BeFalse())
	})

	// Guards against a host that sends a bad request on while control has not committed its strikes.
	It("count at the host that saw the crash at once, for some seconds", func() {
		l := request.NewLocalStrikes()
		f := request.FingerprintOf("w", "h", "/p", []byte("bad"))
		for i := range 3 {
			l.Record(f, request.SharedStrike{Crash: fmt.Sprint(i), At: start}, start)
		}
		Expect(l.Combine(f, crashed(0), request.Strikes{}, start).Quarantined()).To(BeTrue())
		later := start.Add(6 * time.Second)
		Expect(l.Combine(f, crashed(0), request.Strikes{}, later).Shared).To(Equal(1))
		Expect(l.Empty(later)).To(BeTrue())
	})

	// Guards against refusing popular requests, which are in each crash of a bad one.
	It("are not given to what a target has run to its end in the last minute", func() {
		c := request.NewCompleted()
		c.Record(1, start)
		Expect(c.Has(1, start.Add(time.Minute-1))).To(BeTrue())
		Expect(c.Has(2, start)).To(BeFalse())
		Expect(c.Has(1, start.Add(2*time.Minute))).To(BeFalse())
		for i := range uint64(100_000) {
			c.Record(i, start.Add(3*time.Minute))
		}
		Expect(c.Has(99_999, start.Add(3*time.Minute))).To(BeFalse(), "bounded")
	})

	// Guards against refusing requests on days on which targets end by themselves and callers
	// retry: targets in groups of three end every two seconds for a minute.
	It("refuse next to no request when targets end by themselves", func() {
		const targets, callers, step, runTime = 18, 70, 50 * time.Millisecond, 2 * time.Second
		r := rand.New(rand.NewSource(1))
		type run struct {
			target   int
			progress uint64
			strikes  []request.SharedStrike
		}
		running := make([]run, callers)
		for i := range running {
			running[i].target = r.Intn(targets)
		}
		served, refused, lifetimes := 0, 0, make([]int, targets)
		events := uint64(runTime / step)
		for at := time.Duration(0); at < time.Minute; at += step {
			ended := map[int]bool{}
			if at%(2*time.Second) == 0 {
				for range 3 {
					ended[r.Intn(targets)] = true
				}
			}
			now := start.Add(at)
			for i := range running {
				c := &running[i]
				if ended[c.target] {
					id := request.CrashID(fmt.Sprint(c.target), int64(lifetimes[c.target]))
					c.strikes = request.AddSharedStrike(c.strikes, request.SharedStrike{Crash: id, Progress: c.progress, At: now}, now.Add(-time.Duration(c.progress)*step))
					c.target, c.progress = r.Intn(targets), 0 // the caller retries from the beginning
				} else if c.progress++; c.progress == events {
					*c = run{target: r.Intn(targets)}
					served++
				}
				if (request.Strikes{Shared: request.CountShared(c.strikes)}).Quarantined() {
					*c = run{target: r.Intn(targets)}
					refused++
				}
			}
			for t := range ended {
				lifetimes[t]++
			}
		}
		GinkgoWriter.Printf("served %d, refused %d\n", served, refused)
		Expect(refused).To(BeNumerically("<=", served/200))
	})
})
