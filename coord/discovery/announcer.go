package discovery

import (
	"slices"
	"time"
)

// Intervals of announcements to one process.
const (
	// seedInterval is within the second in which a seed that has just started must lead
	// to control.
	seedInterval = 700 * time.Millisecond
	firstRetry   = 500 * time.Millisecond
	longestRetry = 8 * time.Second
	// settledInterval covers a process whose restart neither the leader nor the member that
	// it followed has seen.
	settledInterval = 2 * time.Minute
)

// Outcome is what became of an announcement.
type Outcome int

// The outcomes of an announcement.
const (
	Unreachable Outcome = iota
	Searching           // the process did not follow control yet
	Following
)

// Announcer schedules the announcements to seeds and registered processes.
type Announcer struct {
	contacts map[string]*contact // by address
}

type contact struct {
	seed  bool
	busy  bool // an announcement is under way
	due   time.Time
	retry time.Duration
}

// NewAnnouncer returns an announcer without recipients.
func NewAnnouncer() *Announcer { return &Announcer{contacts: map[string]*contact{}} }

// SetAudience replaces the recipients: the seeds of the settings, and the registered
// processes that do not poll this one. New ones are due at once.
func (a *Announcer) SetAudience(seeds, processes []string, now time.Time) {
	kept := make(map[string]*contact, len(seeds)+len(processes))
	for _, address := range processes {
		kept[address] = a.contact(address, now)
		kept[address].seed = false
	}
	for _, address := range seeds {
		kept[address] = a.contact(address, now)
		kept[address].seed = true
	}
	a.contacts = kept
}

func (a *Announcer) contact(address string, now time.Time) *contact {
	if c, known := a.contacts[address]; known {
		return c
	}
	return &contact{due: now}
}

// Due returns up to most recipients that are due. Each must be followed by Done.
func (a *Announcer) Due(now time.Time, most int) []string {
	var due []string
	for address, c := range a.contacts { // any order: sorted below
		if !c.busy && !now.Before(c.due) {
			due = append(due, address)
		}
	}
	slices.Sort(due)
	due = due[:min(most, len(due))]
	for _, address := range due {
		a.contacts[address].busy = true
	}
	return due
}

// Done records the outcome of an announcement.
func (a *Announcer) Done(address string, outcome Outcome, now time.Time) {
	c, known := a.contacts[address]
	if !known {
		return
	}
	c.busy = false
	switch {
	case c.seed:
		c.due, c.retry = now.Add(seedInterval), 0
	case outcome == Following:
		c.due, c.retry = now.Add(settledInterval), 0
	default:
		c.retry = min(max(2*c.retry, firstRetry), longestRetry)
		c.due = now.Add(c.retry)
	}
}
