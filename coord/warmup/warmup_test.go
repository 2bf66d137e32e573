package warmup_test

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cowsliptiller/coord/warmup"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Unix(1_700_000_000, 0)

// peak returns the largest number of sends within any second.
func peak(sends []time.Time) int {
	slices.SortFunc(sends, time.Time.Compare)
	most, first := 0, 0
	for i, at := range sends {
		for at.Sub(sends[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against crashing a target that warms up: whatever the delays, pauses and suspensions of
// hosts, and the restarts of its owner, it must not get more than its rate in any second.
func TestAnySecondStaysWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 200).Draw(t, "rate")
		now, owner := start, warmup.NewPacers(start)
		var sends []time.Time
		ms := func(most int, name string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) { now = now.Add(ms(300, "pause")) },
			"owner restarts": func(t *rapid.T) {
				now = now.Add(time.Millisecond)
				owner = warmup.NewPacers(now)
			},
			"request": func(t *rapid.T) {
				asked, answered := now.Add(-ms(200, "way to the owner")), now.Add(ms(200, "way back"))
				wait, ok := owner.Reserve("t", rate, ms(2000, "longest wait"), now)
				window, inTime := warmup.NewWindow(asked, answered, wait)
				if !ok || !inTime {
					return
				}
				if at := window.From.Add(ms(3000, "suspended")); !window.Expired(at) {
					sends = append(sends, at)
				}
			},
		})
		limit := int(math.Ceil(rate*(time.Second+warmup.MaxSendDelay).Seconds())) + 2
		if most := peak(sends); most > limit {
			t.Fatalf("%d requests within a second, at most %d expected", most, limit)
		}
	})
}

// Guards against sending at a time that was reserved before the host was suspended.
func TestSuspendedHostNeedsANewSendTime(t *testing.T) {
	g := NewWithT(t)
	asked := time.Now()
	window, ok := warmup.NewWindow(asked, asked.Add(time.Millisecond), 0)
	g.Expect(ok).To(BeTrue())
	g.Expect(window.Expired(asked.Add(time.Millisecond))).To(BeFalse())
	// Add on the rounded time moves the wall clock alone, as a suspension does.
	g.Expect(window.Expired(asked.Round(0).Add(2 * time.Second))).To(BeTrue())
}

// policy decides when the calls that wait at each host may be sent to one target; a call
// without a time is refused.
type policy func(callsByHost []int, rate float64, maxWait time.Duration) (sends []time.Time)

// unlimited sends all calls at once.
func unlimited(callsByHost []int, _ float64, _ time.Duration) []time.Time {
	var sends []time.Time
	for _, calls := range callsByHost {
		sends = append(sends, slices.Repeat([]time.Time{start}, calls)...)
	}
	return sends
}

// equalShares gives each host the same share of the rate, which it paces by itself.
func equalShares(callsByHost []int, rate float64, maxWait time.Duration) []time.Time {
	share := rate / float64(len(callsByHost))
	var sends []time.Time
	for _, calls := range callsByHost {
		for i := range calls {
			if at := time.Duration(float64(i) / share * float64(time.Second)); at <= maxWait {
				sends = append(sends, start.Add(at))
			}
		}
	}
	return sends
}

// oneOwner asks the target's owner, the hosts in turn.
func oneOwner(callsByHost []int, rate float64, maxWait time.Duration) []time.Time {
	owner := warmup.NewPacers(start.Add(-warmup.MaxAhead))
	var sends []time.Time
	for i := range slices.Max(callsByHost) {
		for _, calls := range callsByHost {
			if i >= calls {
				continue
			}
			if wait, ok := owner.Reserve("t", rate, maxWait, start); ok {
				sends = append(sends, start.Add(wait))
			}
		}
	}
	return sends
}

// Guards against the crash of a target that warms up while all hosts hold calls for it, and
// against leaving its rate unused because the balancer spreads callers unevenly over hosts.
func TestAllHostsHoldCallsForOneTarget(t *testing.T) {
	const (
		rate    = 19.0
		crashes = 33 // requests in a second
		maxWait = 900 * time.Millisecond
	)
	for _, hosts := range []int{6, 27, 300} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			g := NewWithT(t)
			calls := make([]int, hosts)
			for i := range calls {
				calls[i] = 1
			}
			calls[0], calls[1], calls[2] = 20, 10, 10
			served := map[string]int{}
			peaks := map[string]int{}
			for name, p := range map[string]policy{"unlimited": unlimited, "shares": equalShares, "owner": oneOwner} {
				sends := p(calls, rate, maxWait)
				served[name], peaks[name] = len(sends), peak(sends)
			}
			t.Logf("served %v, peaks %v", served, peaks)
			g.Expect(peaks["unlimited"]).To(BeNumerically(">", crashes))
			g.Expect(peaks["owner"]).To(BeNumerically("<", crashes))
			g.Expect(served["owner"]).To(BeNumerically(">=", int(rate*maxWait.Seconds())))
			if hosts > crashes {
				g.Expect(peaks["shares"]).To(BeNumerically(">", crashes))
			} else if hosts < 10 {
				g.Expect(served["shares"]).To(BeNumerically("<", served["owner"]))
			}
		})
	}
}
