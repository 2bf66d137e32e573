package request

import (
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
)

// Class says how a call is treated.
type Class struct {
	Name       string
	Band       fair.Band
	Deadline   time.Duration // from when the entry host took the call
	Repeatable bool          // idempotent: may be sent again after hand-over
}

// ClassOf returns the class that the configuration describes.
func ClassOf(spec config.ClassSpec) Class {
	c := Class{Name: spec.Name, Deadline: spec.Deadline, Repeatable: spec.Repeatable}
	switch spec.Urgency {
	case config.UrgencyMustFinish:
		c.Band = fair.MustFinish
	case config.UrgencyByDeadline:
		c.Band = fair.ByDeadline
	default:
		c.Band = fair.Interactive
	}
	return c
}

// DeadlineOf returns the time by which a call taken at now has its final answer: the
// class's deadline, or what the caller wants where that is sooner. Wanted 0 is no
// wish; fault.InvalidRequest for a negative one.
func (c Class) DeadlineOf(now time.Time, wanted time.Duration) (time.Time, error) {
	if wanted < 0 {
		return time.Time{}, fault.New(fault.InvalidRequest, "deadline of %v", wanted)
	}
	if wanted == 0 || wanted > c.Deadline {
		wanted = c.Deadline
	}
	return now.Add(wanted), nil
}
