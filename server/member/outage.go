package member

import (
	"errors"
	"regexp"
	"time"

	"cowsliptiller/coord/fault"
)

// Reasons of failures, the label values of the metric.
const (
	reasonFailed   = "failed"   // the running member: its disk failed, or an invariant is broken
	reasonRemoved  = "removed"  // from the group
	reasonFenced   = "fenced"   // the group has recorded another disk for the member's id
	reasonIdentity = "identity" // the identity could not be read, created or written
	reasonLocked   = "locked"   // the data folder is in use: the disk does not answer
	reasonOpen     = "open"     // the data folder could not be opened
	reasonStart    = "start"    // a listener of the role could not be opened
	reasonDiscard  = "discard"  // the identity of a removed member could not be discarded
)

var reasons = []string{reasonFailed, reasonRemoved, reasonFenced, reasonIdentity, reasonLocked, reasonOpen, reasonStart, reasonDiscard}

// failure is an error with its reason.
type failure struct {
	reason string
	err    error
}

// Error implements error.
func (f *failure) Error() string { return f.err.Error() }

// Unwrap returns the error.
func (f *failure) Unwrap() error { return f.err }

// failureOf returns err with the given reason, or with a more specific one that err shows.
func failureOf(reason string, err error) *failure {
	switch {
	case errors.Is(err, errRemoved):
		reason = reasonRemoved
	case fault.Is(err, fault.Fenced):
		reason = reasonFenced
	case reason == reasonOpen && fault.Is(err, fault.Conflict):
		reason = reasonLocked
	}
	return &failure{reason, err}
}

const (
	// firstRepeat is the interval after which a cause that persists is logged again. It
	// doubles up to maxRepeat.
	firstRepeat = 2 * time.Second
	maxRepeat   = time.Minute
	// maxCauses bounds the causes that are logged separately within one outage.
	maxCauses = 16
)

// outage is a time in which the role does not run. It selects the failures that are logged:
// the first one of each cause, later ones at growing intervals.
type outage struct {
	began    time.Time
	failures int
	causes   map[string]*repeats
}

// repeats schedules the log lines of one cause.
type repeats struct {
	next     time.Time
	interval time.Duration
}

func newOutage(began time.Time) *outage { return &outage{began: began, causes: map[string]*repeats{}} }

// numbers differ between attempts that fail for the same cause: names of files, sizes.
var numbers = regexp.MustCompile(`[0-9]+`)

// record counts a failure and reports whether it is logged.
func (o *outage) record(cause string, now time.Time) bool {
	o.failures++
	cause = numbers.ReplaceAllString(cause, "#")
	r, known := o.causes[cause]
	if !known && len(o.causes) >= maxCauses {
		cause = ""
		r, known = o.causes[cause]
	}
	if !known {
		o.causes[cause] = &repeats{next: now.Add(firstRepeat), interval: firstRepeat}
		return true
	}
	if now.Before(r.next) {
		return false
	}
	r.interval = min(2*r.interval, maxRepeat)
	r.next = now.Add(r.interval)
	return true
}
