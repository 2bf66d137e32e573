package reachability_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cowsliptiller/coord/reachability"
)

const (
	// tick is how often the entry host asks which targets to probe.
	tick = 50 * time.Millisecond
	// findWithin is the time in which a suspended target must be found: two thirds of the 2 s that
	// a caller waits for the next event remain for another target.
	findWithin = 650 * time.Millisecond
	// returnWithin is the time in which a target that responds again must get calls.
	returnWithin = 2500 * time.Millisecond
)

// simulation is an entry host with targets, which respond to probes after 5 ms or not at all.
type simulation struct {
	*reachability.Detector
	now       time.Time
	targets   []string
	suspended map[string]bool
	cutOff    bool // this entry host receives nothing
	pending   []probe
	probes    map[string]int
}

type probe struct {
	target string
	began  time.Time
}

func newSimulation(n int) *simulation {
	s := &simulation{Detector: reachability.NewDetector(), now: time.Unix(1000, 0), suspended: map[string]bool{}, probes: map[string]int{}}
	for i := range n {
		s.targets = append(s.targets, fmt.Sprint("t", i))
	}
	return s
}

// run advances the time in steps of 5 ms. onStep is called at each.
func (s *simulation) run(d time.Duration, onStep func()) {
	const step = 5 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		onStep()
		s.endProbes()
		if !s.cutOff && s.now.UnixMilli()%200 == 0 {
			s.HeardFromControl(s.now)
		}
		if s.now.UnixMilli()%tick.Milliseconds() != 0 {
			continue
		}
		for _, p := range s.Due(func(string) bool { return true }, s.now) {
			s.pending = append(s.pending, probe{p.Target, s.now})
			s.probes[p.Target]++
		}
	}
}

func (s *simulation) endProbes() {
	s.pending = slices.DeleteFunc(s.pending, func(p probe) bool {
		age := s.now.Sub(p.began)
		responds := !s.suspended[p.target] && !s.cutOff
		if responds && age >= 5*time.Millisecond || age >= reachability.ProbeTimeout {
			s.ProbeEnded(p.target, responds, s.now)
			return true
		}
		return false
	})
}

// Guards against calls that wait for a suspended target, and new ones that are sent there, until
// their own timeouts.
func TestSuspendedTargetsAreFoundFromTheCallsThatWaitThere(t *testing.T) {
	s := newSimulation(12)
	begin := s.now
	found := map[string]time.Duration{}
	arrivals := func() {
		for _, name := range s.targets {
			if s.now.UnixMilli()%100 == 0 {
				s.Started(name, s.now)
			}
			if !s.suspended[name] && s.now.UnixMilli()%100 == 20 {
				s.Heard(name, s.now)
				s.Finished(name)
			}
			if _, known := found[name]; !known && s.IsUnreachable(name) {
				found[name] = s.now.Sub(begin)
			}
		}
	}
	s.run(time.Second, arrivals)
	if len(found) > 0 {
		t.Fatalf("unreachable though all respond: %v", found)
	}
	begin = s.now
	s.suspended["t3"], s.suspended["t7"] = true, true
	s.run(2*time.Second, arrivals)
	if len(found) != 2 {
		t.Errorf("found %v, want t3 and t7", found)
	}
	for _, name := range []string{"t3", "t7"} {
		if at, ok := found[name]; !ok || at > findWithin {
			t.Errorf("%s was found after %v", name, at)
		}
	}
	delete(s.suspended, "t3")
	s.run(returnWithin, func() {})
	if s.IsUnreachable("t3") || !s.IsUnreachable("t7") {
		t.Errorf("unreachable: %v, want t7 alone", s.Unreachable())
	}
}

// Guards against connections of all entry hosts to a suspended target, which all arrive when it
// resumes.
func TestUnreachableTargetsAreProbedLessAndLess(t *testing.T) {
	s := newSimulation(2)
	s.suspended["t0"] = true
	s.Started("t0", s.now)
	s.run(time.Second, func() {})
	s.probes["t0"] = 0
	s.run(10*time.Second, func() {})
	if n := s.probes["t0"]; n < 4 || n > 7 {
		t.Errorf("%d probes in 10 s", n)
	}
	delete(s.suspended, "t0")
	s.SetReported(map[string]bool{"t0": true})
	s.run(2*tick, func() {})
	if s.IsUnreachable("t0") {
		t.Error("a report of control has not led to a probe")
	}
}

// Guards against two targets that work on one call until the next probe of the first one, which has resumed, is due.
func TestUnreachableTargetsAreProbedWithoutAPauseDuringAHandover(t *testing.T) {
	s := newSimulation(2)
	s.suspended["t0"] = true
	s.Started("t0", s.now)
	s.run(3*time.Second, func() {})
	s.HandoverBegan("t0")
	s.run(time.Second, func() {})
	delete(s.suspended, "t0")
	resumed, found := s.now, time.Duration(0)
	s.run(time.Second, func() {
		if found == 0 && !s.IsUnreachable("t0") {
			found = s.now.Sub(resumed)
		}
	})
	if found == 0 || found > 2*tick {
		t.Errorf("found to respond after %v, want at most %v", found, 2*tick)
	}
	s.suspended["t0"] = true
	s.run(time.Second, func() {})
	s.HandoverEnded("t0")
	s.probes["t0"] = 0
	s.run(10*time.Second, func() {})
	if n := s.probes["t0"]; n > 7 {
		t.Errorf("%d probes in 10 s after the handover", n)
	}
}

// Guards against moving calls away from targets that only have a queue, and against probes that
// add to it.
func TestTargetsWithAQueueStayReachable(t *testing.T) {
	s := newSimulation(1)
	s.Started("t0", s.now)
	s.run(10*time.Second, func() {
		if s.IsUnreachable("t0") {
			t.Fatal("a target that responds to probes is unreachable")
		}
	})
	if n := s.probes["t0"]; n < 10 || n > 20 {
		t.Errorf("%d probes in 10 s of silence", n)
	}
}

// Guards against refusing all requests at an entry host that is itself cut off for a moment.
func TestAnEntryHostThatHearsFromNobodyBlamesNoTarget(t *testing.T) {
	s := newSimulation(6)
	for _, name := range s.targets {
		s.Started(name, s.now)
	}
	s.cutOff = true
	s.run(5*time.Second, func() {
		if list := s.Unreachable(); len(list) > 0 {
			t.Fatalf("unreachable: %v", list)
		}
	})
}

// Guards against a failed probe that only shows that this process was paused.
func TestAProbeDuringAPauseIsInconclusive(t *testing.T) {
	s := newSimulation(1)
	s.Started("t0", s.now)
	s.now = s.now.Add(time.Second)
	if due := s.Due(func(string) bool { return true }, s.now); len(due) != 1 {
		t.Fatalf("due: %v", due)
	}
	s.now = s.now.Add(3 * time.Second) // the process was suspended
	s.HeardFromControl(s.now)
	if s.ProbeEnded("t0", false, s.now) || s.IsUnreachable("t0") {
		t.Error("the target is unreachable")
	}
}

// Guards against taking targets in a far region for unreachable.
func TestATargetThatRespondsToAProbeAfterTwoLongRoundTripsIsReachable(t *testing.T) {
	const roundTrip = 150 * time.Millisecond
	if reachability.ProbeTimeout <= 2*roundTrip {
		t.Errorf("a probe waits %v for a response that takes %v", reachability.ProbeTimeout, 2*roundTrip)
	}
}

// Guards against a target that sends events while its probe times out: a full queue of new
// connections does not answer either.
func TestATargetThatSendsDuringItsProbeIsReachable(t *testing.T) {
	s := newSimulation(1)
	s.Started("t0", s.now)
	s.now = s.now.Add(300 * time.Millisecond)
	s.Due(func(string) bool { return true }, s.now)
	s.now = s.now.Add(100 * time.Millisecond)
	s.Heard("t0", s.now)
	s.now = s.now.Add(150 * time.Millisecond)
	if s.ProbeEnded("t0", false, s.now) || s.IsUnreachable("t0") {
		t.Error("the target is unreachable")
	}
}

// Guards against two errors of what control reports: calls to a target that other hosts know to be
// unreachable, and refusing a target that responds to this host.
func TestAReportOfControlHoldsUntilTheTargetResponds(t *testing.T) {
	s := newSimulation(2)
	s.suspended["t0"] = true
	reported := map[string]bool{"t0": true, "t1": true}
	s.SetReported(reported)
	if list := s.Unreachable(); !slices.Equal(list, s.targets) {
		t.Fatalf("unreachable: %v", list)
	}
	if list := s.FailedProbes(); len(list) > 0 {
		t.Errorf("what control reported is reported back: %v", list)
	}
	s.run(findWithin, func() { s.SetReported(reported) })
	if list := s.Unreachable(); !slices.Equal(list, []string{"t0"}) {
		t.Errorf("unreachable: %v, t1 has responded to a probe", list)
	}
	delete(s.suspended, "t0")
	s.SetReported(nil)
	s.run(findWithin, func() {})
	if list := s.Unreachable(); len(list) > 0 {
		t.Errorf("unreachable: %v", list)
	}
}

// Guards against new calls that follow a call that waits for a response to a probe.
func TestATargetIsSuspectedWhileItsProbeHasNoResponse(t *testing.T) {
	s := newSimulation(1)
	s.Started("t0", s.now)
	s.now = s.now.Add(300 * time.Millisecond)
	s.Due(func(string) bool { return true }, s.now)
	if list := s.Suspected(s.now.Add(10 * time.Millisecond)); len(list) > 0 {
		t.Errorf("suspected after 10 ms: %v", list)
	}
	if list := s.Suspected(s.now.Add(100 * time.Millisecond)); len(list) != 1 {
		t.Errorf("suspected after 100 ms: %v", list)
	}
}
