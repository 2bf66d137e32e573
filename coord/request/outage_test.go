package request_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/request"
)

// All processes lose power while sixty callers a second come, and hosts know what they
// need 1.2 s after their start. Callers are told at once to come back in a second, do so
// once, and meet a host that still knows nothing. Each caller below has one return.
func TestCallersOutlastAStartOfTheFleet(t *testing.T) {
	g := NewWithT(t)
	const known, patience, interval = 1200 * time.Millisecond, 5 * time.Second, 16 * time.Millisecond
	served, total := 0, 0
	for came := time.Duration(0); came < known; came += interval {
		total++
		if came+request.WaitOut(came, 0, patience) >= known {
			served++
		}
	}
	g.Expect(served).To(Equal(total))
}

func TestOutagesAreNotWaitedForInVain(t *testing.T) {
	g := NewWithT(t)
	g.Expect(request.WaitOut(5*time.Second, 0, time.Minute)).To(BeZero(), "the host is cut off: others can do better")
	g.Expect(request.WaitOut(0, 0, time.Second)).To(BeNumerically("<", time.Second), "some of its time is left for the answer")
	g.Expect(request.WaitOut(0, 900*time.Millisecond, time.Second)).To(BeZero())
}

// Seven hosts are restarted in turn, two seconds apart, while callers wait for models that
// take one to four seconds. All that can be answered within a host's grace are.
func TestCallersAreNotSentAwayByAHostThatCanStillAnswerThem(t *testing.T) {
	g := NewWithT(t)
	const left, run = 7 * time.Second, 300 * time.Millisecond
	g.Expect(request.WaitsBeforeStop(left, run)).To(BeNumerically(">=", 4*time.Second))
	g.Expect(request.WaitsBeforeStop(left, run)+2*run).To(BeNumerically("<", left), "answers end before the host does")
	g.Expect(request.WaitsBeforeStop(time.Second, time.Second)).To(BeZero())
	g.Expect(request.WaitsBeforeStop(time.Second, 0)).To(BeNumerically("<", time.Second))
}
