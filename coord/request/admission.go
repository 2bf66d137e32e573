package request

import (
	"time"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
)

// Load pattern: more calls come in than the targets can answer in time, at every
// entry host; calls for a model that is still loading; callers who give up.
//
// Without bounds, queues grow until every answer is late and memory ends. Without a
// forecast, a call waits out its whole deadline to be refused, when its caller could
// have gone elsewhere at once. Without a window, entry hosts push all they have into
// the agents' queues, where a class or a fair share decided here no longer counts.
//
// Thresholds: the window of calls under way at a destination grows by one for each
// window of answers and shrinks by a third when an agent refuses for overload
// (additive increase, multiplicative decrease, at most once for each service time).

const (
	startWindow  = 8
	windowShrink = 2.0 / 3
	maxWindow    = 4096
)

// Bounds limits what an entry host holds at once.
type Bounds struct {
	Calls int
	Bytes int64
}

// Pending is one call that waits for its turn.
type Pending struct {
	ID          string
	Workspace   string
	KeyID       string
	Destination string // model or service
	Class       Class
	Weight      int64 // the workspace's rate
	Tokens      int64 // prompt and the most that it may generate
	Bytes       int64 // of the request body
	Arrived     time.Time
	Deadline    time.Time
}

// Refusal is the final answer to a call that waited.
type Refusal struct {
	ID  string
	Err error
}

// Admission holds the waiting calls of one entry host and says which goes next.
type Admission struct {
	bounds       Bounds
	calls        int
	bytes        int64
	destinations map[string]*destination
	pending      map[string]Pending // waiting
	running      map[string]Pending // under way
}

type destination struct {
	queue    fair.Queue
	underWay int
	window   float64
	shrunk   time.Time
	ready    time.Time // forecast: no replica before this time
	possible bool
	times    serviceTimes
}

// NewAdmission returns an admission without calls.
func NewAdmission(b Bounds) *Admission {
	return &Admission{
		bounds:       b,
		destinations: make(map[string]*destination),
		pending:      make(map[string]Pending),
		running:      make(map[string]Pending),
	}
}

func (a *Admission) destination(name string) *destination {
	d, known := a.destinations[name]
	if !known {
		d = &destination{window: startWindow, possible: true}
		a.destinations[name] = d
	}
	return d
}

// Arrive takes a call to wait for its turn. Errors: fault.Overloaded when the bounds
// are reached or the wait would pass the deadline, fault.NoCapacity when no replica
// can be there in time; both say when to come back.
func (a *Admission) Arrive(p Pending, now time.Time) error {
	if a.calls >= a.bounds.Calls || a.bytes+p.Bytes > a.bounds.Bytes {
		return fault.New(fault.Overloaded, "the entry host holds as many requests as it can")
	}
	d := a.destination(p.Destination)
	if err := d.check(p, now); err != nil {
		return err
	}
	a.calls++
	a.bytes += p.Bytes
	a.pending[p.ID] = p
	d.queue.Push(p.item())
	return nil
}

func (p Pending) item() fair.Item {
	return fair.Item{
		ID: p.ID, Workspace: p.Workspace, Band: p.Class.Band, Weight: p.Weight,
		Tokens: max(1, p.Tokens), Deadline: p.Deadline, Arrived: p.Arrived,
	}
}

// check refuses a call whose wait is forecast to pass its deadline.
func (d *destination) check(p Pending, now time.Time) error {
	if !d.possible {
		return fault.New(fault.NoCapacity, "no target can hold %s", p.Destination)
	}
	start := now
	if d.ready.After(now) {
		start = d.ready
	}
	if ends := start.Add(d.times.mean); ends.After(p.Deadline) {
		return fault.After(fault.NoCapacity, ends.Sub(p.Deadline), "%s is not loaded in time", p.Destination)
	}
	ends := start.Add(d.times.mean + d.wait(p.Class.Band))
	if ends.After(p.Deadline) {
		return fault.After(fault.Overloaded, ends.Sub(p.Deadline), "the wait for %s would pass the deadline", p.Destination)
	}
	return nil
}

// wait forecasts how long a new item of a band waits: what goes before it, at the
// measured rate of ends.
func (d *destination) wait(b fair.Band) time.Duration {
	ahead := 0
	for i := fair.Interactive; i <= b; i++ {
		ahead += d.queue.Waiting(i)
	}
	if ahead == 0 && d.underWay < int(d.window) {
		return 0
	}
	return time.Duration(ahead+1) * d.times.gap
}

// Forecast tells when a destination has a replica; possible false says that none can
// hold it. The calls that cannot be met any more are refused at once.
func (a *Admission) Forecast(name string, possible bool, readyAt, now time.Time) []Refusal {
	d := a.destination(name)
	d.possible, d.ready = possible, readyAt
	return a.refuse(name, func(p Pending) error {
		if !possible {
			return fault.New(fault.NoCapacity, "no target can hold %s", name)
		}
		if late := readyAt.Add(d.times.mean).Sub(p.Deadline); late > 0 {
			return fault.After(fault.NoCapacity, late, "%s is not loaded in time", name)
		}
		return nil
	})
}

// refuse takes out the waiting calls of a destination for which verdict has an error.
func (a *Admission) refuse(name string, verdict func(Pending) error) []Refusal {
	d := a.destination(name)
	errs := make(map[string]error)
	removed := d.queue.RemoveIf(func(it fair.Item) bool {
		err := verdict(a.pending[it.ID])
		if err != nil {
			errs[it.ID] = err
		}
		return err != nil
	})
	refusals := make([]Refusal, 0, len(removed))
	for _, it := range removed {
		a.forget(it.ID)
		refusals = append(refusals, Refusal{it.ID, errs[it.ID]})
	}
	return refusals
}

func (a *Admission) forget(id string) {
	p, known := a.pending[id]
	if !known {
		return
	}
	delete(a.pending, id)
	a.calls--
	a.bytes -= p.Bytes
}

// Next returns the call of a destination to start now, if one may.
func (a *Admission) Next(name string, now time.Time) (Pending, bool) {
	d, known := a.destinations[name]
	if !known || d.underWay >= int(d.window) || d.ready.After(now) || !d.possible {
		return Pending{}, false
	}
	it, ok := d.queue.Pop()
	if !ok {
		return Pending{}, false
	}
	p := a.pending[it.ID]
	delete(a.pending, it.ID)
	a.running[it.ID] = p
	d.underWay++
	return p, true
}

// Again puts a started call that was refused without running back into its place.
// The caller has checked the retry budget. Errors as Arrive.
func (a *Admission) Again(id string, now time.Time) error {
	p, known := a.running[id]
	if !known {
		return fault.New(fault.Internal, "request %s is not under way", id)
	}
	delete(a.running, id)
	d := a.destination(p.Destination)
	d.underWay--
	if !now.Add(d.times.mean).Before(p.Deadline) {
		a.calls--
		a.bytes -= p.Bytes
		return fault.New(fault.Overloaded, "the deadline would pass")
	}
	a.pending[id] = p
	d.queue.Push(p.item())
	return nil
}

// Overload notes that an agent refused a call of a destination for overload.
func (a *Admission) Overload(name string, now time.Time) {
	d := a.destination(name)
	if now.Sub(d.shrunk) < d.times.mean {
		return
	}
	d.shrunk = now
	d.window = max(1, d.window*windowShrink)
}

// Done ends a started call. Served is the tokens that it used, took the time from
// hand-over to the whole answer; 0 where it did not succeed.
func (a *Admission) Done(id string, served int64, took time.Duration, now time.Time) {
	p, known := a.running[id]
	if !known {
		return
	}
	delete(a.running, id)
	a.calls--
	a.bytes -= p.Bytes
	d := a.destination(p.Destination)
	busy := d.queue.Len() > 0
	d.underWay--
	d.queue.Adjust(p.Workspace, p.Weight, p.Tokens, served)
	if took > 0 {
		d.times.observe(took)
		d.times.end(now, busy)
		d.window = min(maxWindow, d.window+1/d.window)
	}
}

// Cancel takes out a waiting call whose caller went away; false if it does not wait.
func (a *Admission) Cancel(id string) bool {
	p, known := a.pending[id]
	if !known {
		return false
	}
	a.destination(p.Destination).queue.Remove(id)
	a.forget(id)
	return true
}

// Withdraw refuses the waiting calls that came with a key that is withdrawn.
func (a *Admission) Withdraw(keyID string) []Refusal {
	var refusals []Refusal
	for _, name := range sortedNames(a.destinations) {
		refusals = append(refusals, a.refuse(name, func(p Pending) error {
			if p.KeyID != keyID {
				return nil
			}
			return fault.New(fault.Unauthenticated, "the key was withdrawn")
		})...)
	}
	return refusals
}

// Expire refuses the waiting calls that can no longer be met by their deadline.
func (a *Admission) Expire(now time.Time) []Refusal {
	var refusals []Refusal
	for _, name := range sortedNames(a.destinations) {
		d := a.destinations[name]
		refusals = append(refusals, a.refuse(name, func(p Pending) error {
			if now.Add(d.times.mean).Before(p.Deadline) {
				return nil
			}
			return fault.After(fault.Overloaded, d.wait(p.Class.Band), "the deadline of the wait for %s has come", name)
		})...)
	}
	return refusals
}

// Wake returns when Expire has something to do, without other events.
func (a *Admission) Wake(now time.Time) time.Time {
	next := now.Add(time.Hour)
	for _, p := range a.pending {
		at := p.Deadline.Add(-a.destinations[p.Destination].times.mean)
		if at.Before(next) {
			next = at
		}
	}
	return next
}

// Demand is what waits for one destination.
type Demand struct {
	Destination string
	Waiting     int
	Earliest    time.Time // deadline
	Interactive bool
}

// Demands returns what waits for each destination, in order of name.
func (a *Admission) Demands() []Demand {
	byName := make(map[string]*Demand)
	for _, p := range a.pending {
		d, known := byName[p.Destination]
		if !known {
			d = &Demand{Destination: p.Destination, Earliest: p.Deadline}
			byName[p.Destination] = d
		}
		d.Waiting++
		d.Interactive = d.Interactive || p.Class.Band == fair.Interactive
		if p.Deadline.Before(d.Earliest) {
			d.Earliest = p.Deadline
		}
	}
	demands := make([]Demand, 0, len(byName))
	for _, name := range sortedNames(byName) {
		demands = append(demands, *byName[name])
	}
	return demands
}

// Held returns the calls and bytes held now.
func (a *Admission) Held() (calls int, bytes int64) {
	return a.calls, a.bytes
}
