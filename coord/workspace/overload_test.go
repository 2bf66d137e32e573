package workspace_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/workspace"
)

// overload holds the results of the calls of a workspace that sends several times its rate.
type overload struct {
	load         *loadRun
	sizes        []int64                  // of the calls, in tokens
	served       map[int64]int            // number of charged calls by size
	asked        map[int64]int            // number of calls by size
	servedAfter  []time.Duration          // wait of each charged call
	refusedAfter []time.Duration          // wait of each refused call
	sentAt       map[string]time.Duration // arrival of queued calls by ID
	sizeOf       map[string]int64
}

// newOverload simulates a workspace that sends a multiple of its rate through a number of hosts.
// Each call has a random size out of sizes; a size that is listed twice is twice as frequent.
func newOverload(seed int64, hosts int, times float64, span time.Duration, sizes ...int64) *overload {
	return playOverload(seed, workspace.Limit{Rate: 90_000, Burst: 90_000}, hosts, times, span, sizes...)
}

func playOverload(seed int64, limit workspace.Limit, hosts int, times float64, span time.Duration, sizes ...int64) *overload {
	o := &overload{
		load: newLoadRun(seed, hosts, limit), sizes: sizes,
		served: map[int64]int{}, asked: map[int64]int{}, sentAt: map[string]time.Duration{}, sizeOf: map[string]int64{},
	}
	mean := 0.0
	for _, size := range sizes {
		mean += float64(size) / float64(len(sizes))
	}
	perMs := times * float64(limit.Rate) / 1000 / mean
	o.load.run(span.Milliseconds(), func() {
		for n := o.load.r.Float64() / perMs; n < 1; n += o.load.r.ExpFloat64() / perMs {
			o.call(o.load.r.Intn(hosts), o.sizes[o.load.r.Intn(len(o.sizes))])
		}
		o.collect()
	})
	return o
}

func (o *overload) now() time.Duration { return time.Duration(o.load.ms) * time.Millisecond }

func (o *overload) call(host int, tokens int64) {
	f := o.load.f
	o.asked[tokens]++
	charged := len(f.oracle.charges)
	waits, err := f.charge(host, tokens)
	switch {
	case err != nil:
		o.refusedAfter = append(o.refusedAfter, 0)
	case waits:
		id := fmt.Sprint(f.serial)
		o.sentAt[id], o.sizeOf[id] = o.now(), tokens
	case len(f.oracle.charges) > charged:
		o.served[tokens]++
		o.servedAfter = append(o.servedAfter, 0)
	}
}

// collect records the outcomes of the queued calls.
func (o *overload) collect() {
	for _, out := range o.load.f.outcomes {
		waited := o.now() - o.sentAt[out.ID]
		if out.Err != nil {
			o.refusedAfter = append(o.refusedAfter, waited)
			continue
		}
		o.servedAfter = append(o.servedAfter, waited)
		o.served[o.sizeOf[out.ID]]++
	}
	o.load.f.outcomes = nil
}

func quantile(d []time.Duration, part float64) time.Duration {
	slices.Sort(d)
	return d[int(part*float64(len(d)-1))]
}

var _ = Describe("a workspace that sends eight times its rate", func() {
	// Guards against a queue that stays as long as the maximum wait. With eight times the rate
	// through 28 hosts for 10 s, the workspace got its rate, but every call waited half a
	// second before it was served or refused.
	It("is served its rate without a long wait and refused the rest without one", func() {
		o := newOverload(1, 28, 8, 10*time.Second, 1000, 1000, 1000, 1000, 8000)
		AddReportEntry("served after", fmt.Sprintf("p50 %v p95 %v", quantile(o.servedAfter, 0.5), quantile(o.servedAfter, 0.95)))
		AddReportEntry("refused after", fmt.Sprintf("p50 %v p95 %v", quantile(o.refusedAfter, 0.5), quantile(o.refusedAfter, 0.95)))
		AddReportEntry("served", fmt.Sprintf("usual %d of %d, large %d of %d", o.served[1000], o.asked[1000], o.served[8000], o.asked[8000]))
		Expect(quantile(o.servedAfter, 0.5)).To(BeNumerically("<=", 200*time.Millisecond))
		Expect(quantile(o.servedAfter, 0.95)).To(BeNumerically("<=", 350*time.Millisecond))
		Expect(quantile(o.refusedAfter, 0.95)).To(BeNumerically("<=", 100*time.Millisecond))
		owed := 90_000.0 * 11
		Expect(float64(1000*o.served[1000] + 8000*o.served[8000])).To(BeNumerically(">", 0.95*owed))
		Expect(o.load.f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against small calls to a plain service that are nearly all refused because large
	// calls to models fill the queue, although they need only a hundredth of the tokens.
	It("serves its small calls", func() {
		o := newOverload(3, 28, 8, 10*time.Second, 1000, 1000, 8000, 200, 200)
		share := float64(o.served[200]) / float64(o.asked[200])
		AddReportEntry("served", fmt.Sprintf("small %.3f, large %d of %d", share, o.served[8000], o.asked[8000]))
		Expect(share).To(BeNumerically(">", 0.95))
		Expect(o.served[8000]).To(BeNumerically(">", o.asked[8000]/16))
	})

	// Guards against large calls that are never served when small calls alone exceed the rate
	// and always bypass the queue.
	It("does not let small calls starve the others", func() {
		o := newOverload(4, 28, 8, 10*time.Second, 200, 200, 200, 200, 200, 200, 200, 200, 200, 1000)
		AddReportEntry("served", fmt.Sprintf("small %d of %d, usual %d of %d", o.served[200], o.asked[200], o.served[1000], o.asked[1000]))
		small := float64(o.served[200]) / float64(o.asked[200])
		usual := float64(o.served[1000]) / float64(o.asked[1000])
		Expect(usual).To(BeNumerically(">", small/3))
	})

	// Guards against refused calls in a burst at one host, here 40 calls with about half of the
	// workspace's burst. While the first was on its way to the owner, the others were refused
	// because they exceed what the rate yields in 100 ms.
	It("is not refused a burst that it has tokens for", func() {
		l := newLoadRun(6, 3, workspace.Limit{Rate: 90_000, Burst: 90_000})
		l.run(1000, func() {
			if l.ms%100 == 0 {
				l.call(1, 1000)
			}
		})
		for range 40 {
			l.call(1, 1000)
		}
		l.run(100, func() {})
		Expect(l.refused).To(BeZero())
		Expect(l.f.oracle.overrun()).To(BeNumerically("<=", tolerance))
	})

	// Guards against lost calls where all calls are small, as for a rate that is counted in
	// calls: each of them is then eligible to bypass the queue.
	It("is served its rate where all its calls are small", func() {
		o := playOverload(5, workspace.Limit{Rate: 200, Burst: 200}, 28, 8, 10*time.Second, 1)
		AddReportEntry("served after", fmt.Sprintf("p50 %v p95 %v", quantile(o.servedAfter, 0.5), quantile(o.servedAfter, 0.95)))
		AddReportEntry("refused after", fmt.Sprintf("p50 %v p95 %v", quantile(o.refusedAfter, 0.5), quantile(o.refusedAfter, 0.95)))
		AddReportEntry("served", fmt.Sprintf("%d of %d", o.served[1], o.asked[1]))
		Expect(o.served[1]).To(BeNumerically(">", 2090))
		Expect(quantile(o.refusedAfter, 0.95)).To(BeNumerically("<=", 100*time.Millisecond))
	})

	// Guards against large calls, of eight times the usual size, that are never served because
	// smaller ones take the tokens before enough have accrued.
	It("serves its large calls as often as the others", func() {
		o := newOverload(2, 28, 8, 10*time.Second, 1000, 1000, 1000, 1000, 8000)
		usual := float64(o.served[1000]) / float64(o.asked[1000])
		large := float64(o.served[8000]) / float64(o.asked[8000])
		AddReportEntry("served", fmt.Sprintf("usual %.3f, large %.3f", usual, large))
		Expect(large).To(BeNumerically(">", usual/2))
	})
})
