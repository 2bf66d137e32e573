package request

import (
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
)

// Class is the scheduling class of a call.
type Class struct {
	Name       string
	Band       fair.Band
	Deadline   time.Duration // from the arrival of the call at the entry host
	Repeatable bool          // idempotent: may be retried after hand-over
}

// NewClass returns the class that the configuration spec describes.
func NewClass(spec config.ClassSpec) Class {
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

// DeadlineOf returns the time by which a call that arrived at now must have its final
// answer. It is the earlier of the class deadline and the one that the caller wanted;
// 0 means that the caller set none. Error: fault.InvalidRequest if wanted is negative.
func (c Class) DeadlineOf(now time.Time, wanted time.Duration) (time.Time, error) {
	if wanted < 0 {
		return time.Time{}, fault.New(fault.InvalidRequest, "negative deadline: %v", wanted)
	}
	if wanted == 0 || wanted > c.Deadline {
		wanted = c.Deadline
	}
	return now.Add(wanted), nil
}
