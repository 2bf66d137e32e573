package request_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/request"
)

// All processes restart while about 60 calls per second arrive, and hosts have the state that
// they need 1.2 s later. Guards against refusing these calls at once: a caller that retries
// once after a second meets a host that still lacks this state.
func TestCallsWaitForAFleetStart(t *testing.T) {
	g := NewWithT(t)
	const recovered, timeout, interval = 1200 * time.Millisecond, 5 * time.Second, 16 * time.Millisecond
	served, total := 0, 0
	for arrived := time.Duration(0); arrived < recovered; arrived += interval {
		total++
		if arrived+request.OutageWait(arrived, 0, timeout) >= recovered {
			served++
		}
	}
	g.Expect(served).To(Equal(total))
}

func TestCallsDoNotWaitForLongOutages(t *testing.T) {
	g := NewWithT(t)
	g.Expect(request.OutageWait(5*time.Second, 0, time.Minute)).To(BeZero(), "the host is partitioned: other hosts can serve the call")
	g.Expect(request.OutageWait(0, 0, time.Second)).To(BeNumerically("<", time.Second), "part of the timeout is left for the answer")
	g.Expect(request.OutageWait(0, 900*time.Millisecond, time.Second)).To(BeZero())
}

// Seven hosts are restarted in turn, two seconds apart, while callers wait for models that
// take one to four seconds to load. Guards against a host that refuses calls at shutdown
// although it can answer them within its grace period.
func TestCallsWaitAtShutdownWhileTheyCanBeAnswered(t *testing.T) {
	g := NewWithT(t)
	const left, run = 7 * time.Second, 300 * time.Millisecond
	g.Expect(request.ShutdownWait(left, run)).To(BeNumerically(">=", 4*time.Second))
	g.Expect(request.ShutdownWait(left, run)+2*run).To(BeNumerically("<", left), "answers end before the host does")
	g.Expect(request.ShutdownWait(time.Second, time.Second)).To(BeZero())
	g.Expect(request.ShutdownWait(time.Second, 0)).To(BeNumerically("<", time.Second))
}

// Guards against requests that a host passes on in its grace period although it cuts their answers off at its end, and
// against a host that refuses requests while callers are still routed to it.
func TestRequestsAreAcceptedAtShutdownWhileTheyCanBeAnswered(t *testing.T) {
	g := NewWithT(t)
	const look, left = 2 * time.Second, 7 * time.Second
	g.Expect(request.ShutdownAccept(look, left, 0)).To(Equal(look))
	g.Expect(request.ShutdownAccept(look, left, time.Minute)).To(Equal(look), "long runs are exempt: half of the time is left")
	g.Expect(request.ShutdownAccept(look, look, 0)).To(And(BeNumerically(">", look/2), BeNumerically("<", look)))
	g.Expect(request.ShutdownAccept(look, look, time.Second)).To(Equal(look - time.Second))
	g.Expect(request.ShutdownAccept(look, look, time.Minute)).To(Equal(look / 2))
	g.Expect(request.ShutdownAccept(look, -time.Second, time.Minute)).To(BeZero())
}

// Guards against a call that is sent so late that its answer is cut off, and against refusing one that can be answered.
func TestTheReserveAtShutdownCoversARun(t *testing.T) {
	g := NewWithT(t)
	const run, limit = 400 * time.Millisecond, 2 * time.Second
	g.Expect(request.ShutdownReserve(run, limit)).To(And(BeNumerically(">=", 2*run), BeNumerically("<", limit)))
	g.Expect(request.ShutdownReserve(0, limit)).To(Equal(limit), "no run is known")
	g.Expect(request.ShutdownReserve(0, 0)).To(BeNumerically(">", 0))
}
