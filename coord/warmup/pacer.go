package warmup

import "time"

// MaxAhead is the longest time between handing out a send time and that time.
const MaxAhead = time.Second

// Limit is what a target of a service bears while it warms up.
type Limit struct {
	Duration  time.Duration // of the warm-up, from the target's start
	PerSecond float64       // requests a second; 0: no limit
}

// Applies reports whether targets of the service have a limit.
func (l Limit) Applies() bool { return l.PerSecond > 0 }

// Pacer hands out the send times of one target.
type Pacer struct {
	opens time.Time // from when send times are handed out
	next  time.Time // earliest free send time
}

// NewPacer returns a pacer whose owner, a process or a leader's term, began at started.
func NewPacer(started time.Time) *Pacer {
	opens := started.Add(MaxAhead)
	return &Pacer{opens: opens, next: opens}
}

// Reserve hands out the earliest free send time if it is at most maxWait from now. Wait is
// the time until then, or, if ok is false, until a send time is free. Nothing is reserved in the
// owner's first MaxAhead: several owners in a row would each add a send time to the rate.
func (p *Pacer) Reserve(perSecond float64, maxWait time.Duration, now time.Time) (wait time.Duration, ok bool) {
	at := p.next
	if at.Before(now) {
		at = now
	}
	wait = at.Sub(now)
	if now.Before(p.opens) || wait > min(maxWait, MaxAhead) {
		return wait, false
	}
	p.next = at.Add(time.Duration(float64(time.Second) / perSecond))
	return wait, true
}

// Pacers holds the pacers of several targets that have one owner.
type Pacers struct {
	started  time.Time // when the owner began
	byTarget map[string]*Pacer
	pruned   time.Time
}

// NewPacers returns the pacers of an owner that began at started.
func NewPacers(started time.Time) *Pacers {
	return &Pacers{started: started, byTarget: map[string]*Pacer{}, pruned: started}
}

// Reserve hands out a send time of a target; see Pacer.Reserve.
func (p *Pacers) Reserve(target string, perSecond float64, maxWait time.Duration, now time.Time) (wait time.Duration, ok bool) {
	p.prune(now)
	pacer := p.byTarget[target]
	if pacer == nil {
		pacer = NewPacer(p.started)
		p.byTarget[target] = pacer
	}
	return pacer.Reserve(perSecond, maxWait, now)
}

// prune drops pacers whose send times have all passed: a new one would hand out the same.
func (p *Pacers) prune(now time.Time) {
	if now.Sub(p.pruned) < MaxAhead {
		return
	}
	p.pruned = now
	for target, pacer := range p.byTarget {
		if pacer.next.Before(now) {
			delete(p.byTarget, target)
		}
	}
}
