package ratelimit

import (
	"time"

	"cowsliptiller/coord/request"
	"cowsliptiller/coord/warmup"
)

// Owner hands out the send times of targets: of those that warm up and of those that announce a
// rate limit.
type Owner struct {
	pacers *warmup.Pacers
	limits *Table
}

// Request asks for a send time.
type Request struct {
	Target          string
	WarmUpPerSecond float64     // rate during the warm-up; 0: the target has warmed up
	Known           Observation // newest that the host has of the target's limit
	MaxWait         time.Duration
	Suspect         bool // the request may crash the target: see request.SuspectsPerSecond
}

// Reservation is the reply to a Request.
type Reservation struct {
	Granted bool
	Wait    time.Duration // granted: until the send time; otherwise: until one is free
	Known   Observation   // newest that the owner has of the target's limit
}

// NewOwner returns an owner, a process or a leader's term, that began at started.
func NewOwner(started time.Time) *Owner {
	return &Owner{pacers: warmup.NewPacers(started), limits: NewTable()}
}

// Reserve hands out the earliest free send time if it is at most MaxWait from now; see
// warmup.Pacer. A target without any limit gets the request at once.
//
// Suspects are paced among themselves first. The slot of one that is then refused is not returned,
// which delays the other suspects by at most one interval.
func (o *Owner) Reserve(r Request, now time.Time) Reservation {
	o.limits.Observe(r.Target, r.Known)
	known := o.limits.Get(r.Target)
	out := Reservation{Granted: true, Known: known}
	if r.Suspect {
		out.Wait, out.Granted = o.pacers.Reserve(suspectsOf(r.Target), request.SuspectsPerSecond, r.MaxWait, now)
	}
	rate := stricter(r.WarmUpPerSecond, known.Rate())
	if rate == 0 || !out.Granted {
		return out
	}
	wait, ok := o.pacers.Reserve(r.Target, rate, r.MaxWait, now)
	out.Wait, out.Granted = max(out.Wait, wait), ok
	return out
}

// suspectsOf is the name under which the suspects at a target are paced.
func suspectsOf(target string) string { return target + " suspects" }

// stricter returns the lower of two rates, of which 0 means no limit.
func stricter(a, b float64) float64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// Limit returns the newest observation of a target's limit.
func (o *Owner) Limit(target string) Observation { return o.limits.Get(target) }

// Retain drops what is known of the targets for which keep returns false.
func (o *Owner) Retain(keep func(target string) bool) { o.limits.Retain(keep) }
