package ratelimit_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cowsliptiller/coord/ratelimit"
	"cowsliptiller/coord/warmup"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.nofailfile", "true")
}

const (
	window = 4 * time.Second // in which the arrivals at a target are counted
	// noticeTime is how long after the first announcement the limit binds.
	noticeTime = 3 * time.Second
)

// allowed is the stated bound of the arrivals in a window.
func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds()) + 5 }

// peak returns the largest number of arrivals within a window.
func peak(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func observation(perSecond float64, at time.Time) ratelimit.Observation {
	return ratelimit.Observation{Limited: true, PerSecond: perSecond, At: at}
}

// host decides whether and when to send a call that came at now; it learns from answers.
type host interface {
	send(now time.Time) (at time.Time, ok bool)
	answered(o ratelimit.Observation)
}

// heedless ignores limits.
type heedless struct{}

func (heedless) send(now time.Time) (time.Time, bool) { return now, true }
func (heedless) answered(ratelimit.Observation)       {}

// alone keeps the limit by itself.
type alone struct{ owner *ratelimit.Owner }

func (h alone) send(now time.Time) (time.Time, bool) {
	r := h.owner.Reserve(ratelimit.Request{Target: "t", Known: h.owner.Limit("t"), MaxWait: warmup.MaxAhead}, now)
	return now.Add(r.Wait), r.Granted
}

func (h alone) answered(o ratelimit.Observation) {
	h.owner.Reserve(ratelimit.Request{Target: "t", Known: o, MaxWait: -1}, o.At)
}

// asking requests send times from the target's owner after the first answer with a limit.
type asking struct {
	owner *ratelimit.Owner
	known *ratelimit.Table
}

func (h asking) send(now time.Time) (time.Time, bool) {
	if !h.known.Get("t").Limited {
		return now, true
	}
	r := h.owner.Reserve(ratelimit.Request{Target: "t", Known: h.known.Get("t"), MaxWait: warmup.MaxAhead}, now)
	h.known.Observe("t", r.Known)
	return now.Add(r.Wait), r.Granted
}

func (h asking) answered(o ratelimit.Observation) { h.known.Observe("t", o) }

// play sends callsPerSecond calls at random times to random hosts for 20 s, of which a few hosts
// get most. The target announces its limit all the time.
func play(hosts []host, callsPerSecond, limit float64) (arrivals []time.Time) {
	rnd := rand.New(rand.NewPCG(1, 2))
	now := start
	for now.Sub(start) < 20*time.Second {
		now = now.Add(time.Duration(rnd.ExpFloat64() / callsPerSecond * float64(time.Second)))
		h := hosts[int(math.Pow(rnd.Float64(), 2)*float64(len(hosts)))]
		at, ok := h.send(now)
		if !ok {
			continue
		}
		if at.Sub(start) >= noticeTime {
			arrivals = append(arrivals, at)
		}
		h.answered(observation(limit, at))
	}
	return arrivals
}

// Guards against overloading a target in need: hosts that ignore its limit, or each keep it alone,
// send it more than it takes. Also guards against leaving its limit unused.
func TestManyHostsSendToALimitedTarget(t *testing.T) {
	const limit = 1.8
	for _, hosts := range []int{6, 28, 300} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			g := NewWithT(t)
			callsPerSecond := float64(10 * hosts)
			policies := map[string]func(*ratelimit.Owner) host{
				"heedless": func(*ratelimit.Owner) host { return heedless{} },
				"alone":    func(*ratelimit.Owner) host { return alone{ratelimit.NewOwner(start)} },
				"asking":   func(o *ratelimit.Owner) host { return asking{o, ratelimit.NewTable()} },
			}
			peaks := map[string]int{}
			for name, newHost := range policies {
				owner := ratelimit.NewOwner(start)
				var list []host
				for range hosts {
					list = append(list, newHost(owner))
				}
				peaks[name] = peak(play(list, callsPerSecond, limit))
			}
			t.Logf("peaks %v, allowed %d", peaks, allowed(limit))
			g.Expect(peaks["heedless"]).To(BeNumerically(">", allowed(limit)))
			g.Expect(peaks["alone"]).To(BeNumerically(">", allowed(limit)))
			g.Expect(peaks["asking"]).To(BeNumerically("<=", allowed(limit)))
			g.Expect(peaks["asking"]).To(BeNumerically(">=", int(limit*window.Seconds())))
		})
	}
}

// Guards against a limit that outlives its announcement.
func TestTheEndOfALimitIsLearned(t *testing.T) {
	g := NewWithT(t)
	owner := ratelimit.NewOwner(start.Add(-time.Minute))
	ended := asking{owner, ratelimit.NewTable()}
	ended.answered(observation(1, start))
	_, ok := ended.send(start)
	g.Expect(ok).To(BeTrue())
	_, ok = ended.send(start.Add(time.Millisecond))
	g.Expect(ok).To(BeTrue(), "within MaxAhead")
	ended.answered(ratelimit.Observation{At: start.Add(time.Second)})
	for range 50 {
		at, ok := ended.send(start.Add(2 * time.Second))
		g.Expect(ok).To(BeTrue())
		g.Expect(at).To(Equal(start.Add(2 * time.Second)))
	}
}

// Guards against a target that is never asked again once other targets are preferred to it.
func TestALimitedTargetIsAvoidedOnlyWhileItsLimitIsFresh(t *testing.T) {
	g := NewWithT(t)
	table := ratelimit.NewTable()
	table.Observe("b", observation(1, start))
	table.Observe("a", observation(1, start))
	g.Expect(table.Avoid(start.Add(500 * time.Millisecond))).To(Equal([]string{"a", "b"}))
	g.Expect(table.Avoid(start.Add(2 * time.Second))).To(BeEmpty())
	table.Observe("a", ratelimit.Observation{At: start.Add(time.Millisecond)})
	g.Expect(table.Avoid(start.Add(500 * time.Millisecond))).To(Equal([]string{"b"}))
}

// Guards against a limit of 0 after which no request, and so no answer without it, ever comes.
func TestALimitOfZeroStillLetsRequestsThrough(t *testing.T) {
	g := NewWithT(t)
	owner := ratelimit.NewOwner(start.Add(-time.Minute))
	granted := 0
	for now := start; now.Sub(start) < time.Minute; now = now.Add(50 * time.Millisecond) {
		if owner.Reserve(ratelimit.Request{Target: "t", Known: observation(0, now), MaxWait: time.Second}, now).Granted {
			granted++
		}
	}
	g.Expect(granted).To(BeNumerically(">", 6))
	g.Expect(granted).To(BeNumerically("<", 20))
}

// Guards against exceeding the limit when it changes, when the owner restarts, or while the target
// warms up: in any window the arrivals stay within the stated bound of the highest limit in force.
func TestAnyWindowStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		highest := rapid.Float64Range(0.5, 40).Draw(t, "highest limit")
		limit := highest
		warmUp := rapid.SampledFrom([]float64{0, 5, 100}).Draw(t, "rate during the warm-up")
		now, owner := start, ratelimit.NewOwner(start)
		var sends []time.Time
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"owner restarts": func(*rapid.T) {
				now = now.Add(time.Millisecond)
				owner = ratelimit.NewOwner(now)
			},
			"limit changes": func(t *rapid.T) { limit = rapid.Float64Range(0.5, highest).Draw(t, "limit") },
			"request": func(t *rapid.T) {
				r := owner.Reserve(ratelimit.Request{Target: "t", WarmUpPerSecond: warmUp, Known: observation(limit, now), MaxWait: 2 * time.Second}, now)
				if r.Granted {
					sends = append(sends, now.Add(r.Wait).Add(time.Duration(rapid.IntRange(0, 250).Draw(t, "delay ms"))*time.Millisecond))
				}
			},
		})
		if most := peak(sends); most > allowed(highest) {
			t.Fatalf("%d requests in 4 s at a limit of at most %v a second, %d allowed", most, highest, allowed(highest))
		}
	})
}
