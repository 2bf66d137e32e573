package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// overlapLimit is for how long a stream may still run at a target after another one has continued it.
	overlapLimit = 400 * time.Millisecond
	// contactTime is how long ago a host, the control hosts or a link must have been disturbed last.
	contactTime = 4 * time.Second
)

// overlaps counts the streams that another target continued, and the longest time for which two targets ran one of
// them. Runs beside a disturbance of their host or link are not checked.
type overlaps struct {
	moved, resumedElsewhere, checked int
	withdrawn                        int // requests that a target found after their connection was closed
	longest                          time.Duration
}

// recordWithdrawn records that a target found a request after its connection was closed. Other targets would run it.
func (h *history) recordWithdrawn(request, target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overlaps.withdrawn++
	h.withdrawn[request] = target
}

// checkWithdrawn checks that no request that a target could have run was rejected as not run. The caller holds mu.
func (h *history) checkWithdrawn() {
	for id, target := range h.withdrawn {
		if s := h.sent[id]; s != nil && !s.idempotent && notRunStatuses[s.status] && !s.stamped {
			h.failures = append(h.failures, fmt.Sprintf("%s %s was rejected as not run with status %d, but target %s has got it", s.path, s.id, s.status, target))
		}
	}
}

// streamRun is a run of a stream, of any of the requests that brought a part of it.
type streamRun struct {
	*Run
	entry int // index of the entry host that sent it
}

// checkOverlaps checks that a stream does not run at a target after another one has continued it.
func (f *fleet) checkOverlaps() {
	h := f.history
	h.mu.Lock()
	defer h.mu.Unlock()
	for stream, runs := range h.streamRuns() {
		for i, later := range runs {
			for _, earlier := range runs[:i] {
				if later.LastEvent != "" && later.Target != earlier.Target {
					f.checkOverlap(stream, earlier, later)
				}
			}
		}
	}
}

// streamRuns returns the runs of each stream that may be resumed, in the order of their begins. The caller holds mu.
func (h *history) streamRuns() map[string][]streamRun {
	byStream := map[string][]streamRun{}
	for id, runs := range h.runs {
		s := h.sent[id]
		if s == nil || !s.resumable {
			continue
		}
		for _, r := range runs {
			byStream[s.origin()] = append(byStream[s.origin()], streamRun{r, s.entry})
		}
	}
	for _, runs := range byStream {
		slices.SortFunc(runs, func(a, b streamRun) int { return a.At.Compare(b.At) })
	}
	return byStream
}

// checkOverlap checks two runs of a stream. The time counts from when the earlier target could be reached. The
// caller holds the history's lock.
func (f *fleet) checkOverlap(stream string, earlier, later streamRun) {
	o := &f.history.overlaps
	o.moved++
	if earlier.entry != later.entry {
		o.resumedElsewhere++
	}
	ended := earlier.Ended
	if ended.IsZero() {
		ended = time.Now()
	}
	t := f.targetAt(earlier.Target)
	from := later.At
	if resumed := t.resumedBefore(ended); resumed.After(from) {
		from = resumed
	}
	overlap := ended.Sub(from)
	if overlap <= 0 || !f.inTouch(earlier.entry, from, ended) || t.proxy.disturbedIn(from.Add(-contactTime), ended) {
		return
	}
	o.checked++
	o.longest = max(o.longest, overlap)
	if overlap > overlapLimit {
		f.history.failures = append(f.history.failures, fmt.Sprintf(
			"stream %s ran at two targets for %v: %v by entry host %d, and %v by entry host %d", stream, overlap, earlier, earlier.entry, later, later.entry))
	}
}

// targetAt returns the target at an address.
func (f *fleet) targetAt(address string) *target {
	return f.targets[slices.IndexFunc(f.targets, func(t *target) bool { return t.address == address })]
}

// inTouch reports whether neither an entry host nor a control host was disturbed in a span and for contactTime before.
func (f *fleet) inTouch(entry int, from, to time.Time) bool {
	hosts := append(slices.Clone(f.hosts[:entriesWithDisk]), f.hosts[entry])
	return !slices.ContainsFunc(hosts, func(h *host) bool { return h.disturbedBefore(to).After(from.Add(-contactTime)) })
}
