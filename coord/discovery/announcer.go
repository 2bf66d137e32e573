package discovery

import (
	"slices"
	"time"
)

// Intervals between announcements to one process.
const (
	// seedInterval is below 1 s, the time within which a seed that has just started must
	// return addresses of the control group.
	seedInterval = 700 * time.Millisecond
	firstRetry   = 500 * time.Millisecond
	maxRetry     = 8 * time.Second
	// settledInterval applies to a process that follows control. It bounds the delay after
	// a restart that neither the leader nor the member that it followed noticed.
	settledInterval = 2 * time.Minute
)

// Outcome is the result of an announcement.
type Outcome int

// Results of an announcement.
const (
	Unreachable Outcome = iota
	Searching           // the process did not follow the control group yet
	Following           // the process already follows the control group
)

// Announcer schedules the announcements to seeds and registered processes.
type Announcer struct {
	recipients map[string]*recipient // by address
}

type recipient struct {
	seed     bool
	inFlight bool // returned by Due, Done not yet called
	due      time.Time
	retry    time.Duration // delay of the latest retry, 0 if none is pending
}

// NewAnnouncer returns an announcer without recipients.
func NewAnnouncer() *Announcer { return &Announcer{recipients: map[string]*recipient{}} }

// SetRecipients replaces the recipients: the seeds in the settings, and the registered
// processes that do not poll this one. New recipients are due at once.
func (a *Announcer) SetRecipients(seeds, processes []string, now time.Time) {
	kept := make(map[string]*recipient, len(seeds)+len(processes))
	for _, address := range processes {
		kept[address] = a.recipient(address, now)
		kept[address].seed = false
	}
	for _, address := range seeds {
		kept[address] = a.recipient(address, now)
		kept[address].seed = true
	}
	a.recipients = kept
}

func (a *Announcer) recipient(address string, now time.Time) *recipient {
	if r, known := a.recipients[address]; known {
		return r
	}
	return &recipient{due: now}
}

// Due returns the addresses of at most limit recipients that are due. The caller must
// call Done for each of them; until then it is not returned again.
func (a *Announcer) Due(now time.Time, limit int) []string {
	var due []string
	for address, r := range a.recipients { // any order: sorted below
		if !r.inFlight && !now.Before(r.due) {
			due = append(due, address)
		}
	}
	slices.Sort(due)
	due = due[:min(limit, len(due))]
	for _, address := range due {
		a.recipients[address].inFlight = true
	}
	return due
}

// Done records the outcome of an announcement and schedules the next one.
func (a *Announcer) Done(address string, outcome Outcome, now time.Time) {
	r, known := a.recipients[address]
	if !known {
		return
	}
	r.inFlight = false
	switch {
	case r.seed:
		r.due, r.retry = now.Add(seedInterval), 0
	case outcome == Following:
		r.due, r.retry = now.Add(settledInterval), 0
	default:
		r.retry = min(max(2*r.retry, firstRetry), maxRetry)
		r.due = now.Add(r.retry)
	}
}
