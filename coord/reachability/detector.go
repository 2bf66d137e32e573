package reachability

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Load pattern: the hosts of some targets are suspended or partitioned for seconds while calls run
// there and more arrive.
// Without it: each call waits for a timeout of its own, new calls are sent to these targets until
// the last second of the outage, and callers give up.
// Rule: a target that sent nothing for silenceLimit while calls wait for it is probed. It is
// unreachable if the probe gets no response although others respond to this entry host, until
// it responds.

const (
	// silenceLimit is longer than most pauses within a stream and than most calls of a plain
	// service, so that few probes go to targets that work.
	silenceLimit = 200 * time.Millisecond
	// probePause is the minimum interval between a response to a probe and the next probe. A
	// target with a queue is silent too, and each probe opens a connection there.
	probePause = 500 * time.Millisecond
	// ProbeTimeout is how long a probe waits for a response: a new connection and a request take
	// two round trips, of 0.15 s each to the farthest region.
	ProbeTimeout = 350 * time.Millisecond
	// probeOverrun is how much longer a probe may take before it is inconclusive: this process
	// was paused, and the response may not have been read.
	probeOverrun = 100 * time.Millisecond
	// minRetryPause and maxRetryPause bound the interval, doubled each time, between failed probes
	// of an unreachable target. Without a growing interval, 70 hosts that probe 40 suspended
	// targets open hundreds of connections a second to each, also at the moment it resumes.
	minRetryPause = 500 * time.Millisecond
	maxRetryPause = 2 * time.Second
	// suspicionDelay is how long a probe may take before new calls avoid the target. Responses
	// within a region take a few milliseconds.
	suspicionDelay = 50 * time.Millisecond
)

// Detector is an entry host's record of the targets that it sends calls to. It is not safe for
// concurrent use.
type Detector struct {
	targets map[string]*target
	// witnessAt is when anything was last received from a peer. Without it, an entry host that is
	// cut off itself would find all targets unreachable.
	witnessAt time.Time
}

type target struct {
	calls       int       // in flight
	handovers   int       // calls that another target is about to continue
	heardAt     time.Time // when it last responded, or the first of the calls in flight was sent
	lastHeard   time.Time // when it last responded
	probing     bool
	probedAt    time.Time     // when the latest probe began
	nextProbe   time.Time     // no probe begins before
	retryPause  time.Duration // until the next probe after the latest failed one
	unreachable bool          // by this host's probes
	reported    bool          // by control, and not refuted by a response since
	wasReported bool          // in the latest set of control
}

// NewDetector returns a Detector that considers all targets reachable.
func NewDetector() *Detector { return &Detector{targets: map[string]*target{}} }

func (d *Detector) target(name string) *target {
	t := d.targets[name]
	if t == nil {
		t = &target{}
		d.targets[name] = t
	}
	return t
}

// Started records that a call was sent to a target.
func (d *Detector) Started(name string, now time.Time) {
	t := d.target(name)
	t.calls++
	if t.calls == 1 {
		t.heardAt = now
	}
}

// Finished records that a call that was sent to a target has ended.
func (d *Detector) Finished(name string) {
	if t := d.targets[name]; t != nil {
		t.calls = max(0, t.calls-1)
	}
}

// HandoverBegan records that another target is about to continue a call of a target. While that one is
// unreachable it is then probed without a pause: as soon as it responds, two targets work on the call.
func (d *Detector) HandoverBegan(name string) { d.target(name).handovers++ }

// HandoverEnded records that a handover that began has ended.
func (d *Detector) HandoverEnded(name string) {
	if t := d.targets[name]; t != nil {
		t.handovers = max(0, t.handovers-1)
	}
}

// Heard records that something was received from a target. It reports whether the target was
// unreachable until then.
func (d *Detector) Heard(name string, now time.Time) (recovered bool) {
	t := d.target(name)
	recovered = t.isUnreachable()
	t.heardAt, t.lastHeard, d.witnessAt = now, now, now
	t.unreachable, t.reported, t.retryPause = false, false, 0
	return recovered
}

// HeardSince reports whether something was received from a target since a time.
func (d *Detector) HeardSince(name string, since time.Time) bool {
	t := d.targets[name]
	return t != nil && t.lastHeard.After(since)
}

// HeardFromControl records that something was received from control.
func (d *Detector) HeardFromControl(now time.Time) { d.witnessAt = now }

// SetReported replaces the set of targets that control reports as unreachable. It is evidence of
// other hosts: it holds until the target responds to this one.
func (d *Detector) SetReported(reported map[string]bool) {
	for name := range reported {
		d.target(name)
	}
	for name, t := range d.targets {
		if t.wasReported == reported[name] {
			continue
		}
		// A change is evidence from elsewhere, so that a probe is worth while at once.
		t.reported, t.wasReported = reported[name], reported[name]
		t.nextProbe = time.Time{}
	}
}

// Retain forgets the targets for which keep is false and to which no call was sent.
func (d *Detector) Retain(keep func(name string) bool) {
	maps.DeleteFunc(d.targets, func(name string, t *target) bool {
		return !keep(name) && t.calls == 0 && t.handovers == 0 && !t.probing
	})
}

// Probe is a probe to make now.
type Probe struct {
	Target string
	// Thorough probes are repeated over other connections, because a lost packet must not make a
	// target unreachable. Others only find out whether an unreachable target responds again.
	Thorough bool
}

// Due returns the probes to make now, sorted by target. The caller must report each result by
// ProbeEnded. Targets for which known is false are left out.
func (d *Detector) Due(known func(name string) bool, now time.Time) []Probe {
	var due []Probe
	for name, t := range d.targets {
		if t.isProbeDue(now) && known(name) {
			t.probing, t.probedAt = true, now
			due = append(due, Probe{Target: name, Thorough: !t.isUnreachable()})
		}
	}
	slices.SortFunc(due, func(a, b Probe) int { return strings.Compare(a.Target, b.Target) })
	return due
}

func (t *target) isProbeDue(now time.Time) bool {
	if t.probing || now.Before(t.nextProbe) && !(t.isUnreachable() && t.handovers > 0) {
		return false
	}
	return t.isUnreachable() || t.calls > 0 && now.Sub(t.heardAt) >= silenceLimit
}

// ProbeEnded records the result of a probe and reports whether the target became unreachable, or
// reachable again.
func (d *Detector) ProbeEnded(name string, responded bool, now time.Time) (changed bool) {
	t := d.targets[name]
	if t == nil {
		return false
	}
	t.probing = false
	if responded {
		t.nextProbe = now.Add(probePause)
		return d.Heard(name, now)
	}
	if t.heardAt.After(t.probedAt) || d.isInconclusive(t, now) {
		return false
	}
	changed = !t.isUnreachable()
	t.unreachable = true
	if t.handovers == 0 || t.retryPause == 0 {
		t.retryPause = min(max(2*t.retryPause, minRetryPause), maxRetryPause)
	}
	t.nextProbe = now.Add(t.retryPause)
	return changed
}

// isInconclusive reports whether a probe without a response says nothing about its target: this
// process was paused meanwhile, or received nothing from any peer.
func (d *Detector) isInconclusive(t *target, now time.Time) bool {
	return now.Sub(t.probedAt) > ProbeTimeout+probeOverrun || d.witnessAt.Before(t.probedAt)
}

func (t *target) isUnreachable() bool { return t.unreachable || t.reported }

// IsUnreachable reports whether no call should be sent to a target.
func (d *Detector) IsUnreachable(name string) bool {
	t := d.targets[name]
	return t != nil && t.isUnreachable()
}

// Suspected returns the targets that have not responded to a probe yet, sorted. New calls should
// prefer others.
func (d *Detector) Suspected(now time.Time) []string {
	return d.namesOf(func(t *target) bool { return t.probing && now.Sub(t.probedAt) >= suspicionDelay })
}

// Unreachable returns the targets to which no call should be sent, sorted.
func (d *Detector) Unreachable() []string { return d.namesOf((*target).isUnreachable) }

// FailedProbes returns the targets that are unreachable by this host's own probes, sorted.
func (d *Detector) FailedProbes() []string {
	return d.namesOf(func(t *target) bool { return t.unreachable })
}

func (d *Detector) namesOf(selected func(*target) bool) []string {
	var out []string
	for name, t := range d.targets {
		if selected(t) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
