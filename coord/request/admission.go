package request

import (
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
)

// Load pattern: more calls come in than the targets can answer in time, at every
// entry host; calls for a model that is still loading; callers who give up; one
// workspace that sends several times its part.
//
// Without bounds, queues grow until every answer is late and memory ends. Without a
// forecast, a call waits out its whole deadline to be refused, when its caller could
// have gone elsewhere at once. Without a bound for each workspace, the one that sends
// most fills the host, and the others are refused before fairness can count.
//
// Thresholds: a workspace may hold as much as is left free (the dynamic threshold of
// Choudhury and Hahne, 1998): one alone gets half of the host, and a newcomer always
// finds room. What goes on to the agents is bounded in lane.go.

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
	held         map[string]held    // by workspace
	nextExpiry   time.Time          // no waiting call expires before
}

// held is what the calls of one workspace take up, waiting and under way.
type held struct {
	calls int
	bytes int64
}

// NewAdmission returns an admission without calls.
func NewAdmission(b Bounds) *Admission {
	return &Admission{
		bounds:       b,
		destinations: make(map[string]*destination),
		pending:      make(map[string]Pending),
		running:      make(map[string]Pending),
		held:         make(map[string]held),
	}
}

func (a *Admission) destination(name string) *destination {
	d, known := a.destinations[name]
	if !known {
		d = newDestination()
		a.destinations[name] = d
	}
	return d
}

// Arrive takes a call to wait for its turn. Errors: fault.Overloaded when the bounds
// are reached or the wait would pass the deadline, fault.NoCapacity when no replica
// can be there in time; both say when to come back.
func (a *Admission) Arrive(p Pending, now time.Time) error {
	if a.has(p.ID) {
		return fault.New(fault.Internal, "request %s is held already", p.ID)
	}
	d := a.destination(p.Destination)
	h := a.held[p.Workspace]
	if h.calls >= a.bounds.Calls-a.calls || h.bytes+p.Bytes > a.bounds.Bytes-a.bytes {
		return fault.After(fault.Overloaded, max(d.lane(p).wait(p), leastRetry), "the entry host holds as many requests as it can")
	}
	if err := d.check(p, now); err != nil {
		return err
	}
	a.hold(p, 1)
	a.wait(p, d)
	return nil
}

func (a *Admission) has(id string) bool {
	_, waits := a.pending[id]
	_, runs := a.running[id]
	return waits || runs
}

// leastRetry keeps callers who are told to come back from doing so in a tight loop.
const leastRetry = 50 * time.Millisecond

func (a *Admission) wait(p Pending, d *destination) {
	a.pending[p.ID] = p
	d.lane(p).queue.Push(p.item())
	if at := d.expiry(p); a.nextExpiry.IsZero() || at.Before(a.nextExpiry) {
		a.nextExpiry = at
	}
}

// hold adds a call to what is held, or takes it out with sign -1.
func (a *Admission) hold(p Pending, sign int) {
	a.calls += sign
	a.bytes += int64(sign) * p.Bytes
	h := a.held[p.Workspace]
	h.calls += sign
	h.bytes += int64(sign) * p.Bytes
	a.held[p.Workspace] = h
	if h.calls == 0 {
		delete(a.held, p.Workspace)
	}
}

func (p Pending) item() fair.Item {
	return fair.Item{
		ID: p.ID, Workspace: p.Workspace, Band: p.Class.Band, Weight: p.Weight,
		Tokens: max(1, p.Tokens), Deadline: p.Deadline, Arrived: p.Arrived,
	}
}

// Forecast tells when a destination has a replica; possible false says that none can
// hold it. The calls that cannot be met any more are refused at once.
func (a *Admission) Forecast(name string, possible bool, readyAt, now time.Time) []Refusal {
	d := a.destination(name)
	d.possible, d.ready = possible, readyAt
	return a.refuse(name, func(p Pending) error {
		if !possible {
			return noTarget(name)
		}
		if late := readyAt.Sub(d.expiry(p)); late > 0 {
			return fault.After(fault.NoCapacity, late, "%s is not loaded in time", name)
		}
		return nil
	})
}

// refuse takes out the waiting calls of a destination for which verdict has an error.
func (a *Admission) refuse(name string, verdict func(Pending) error) []Refusal {
	d := a.destination(name)
	var refusals []Refusal
	for i := range d.lanes {
		errs := make(map[string]error)
		removed := d.lanes[i].queue.RemoveIf(func(it fair.Item) bool {
			err := verdict(a.pending[it.ID])
			if err != nil {
				errs[it.ID] = err
			}
			return err != nil
		})
		for _, it := range removed {
			a.forget(it.ID)
			refusals = append(refusals, Refusal{it.ID, errs[it.ID]})
		}
	}
	return refusals
}

func (a *Admission) forget(id string) {
	p, known := a.pending[id]
	if !known {
		return
	}
	delete(a.pending, id)
	a.hold(p, -1)
}

// Next returns a call of a destination to start now, if one may. Call it until it
// returns none after each event about the destination.
func (a *Admission) Next(name string, now time.Time) (Pending, bool) {
	d, known := a.destinations[name]
	if !known || d.ready.After(now) || !d.possible {
		return Pending{}, false
	}
	for i := range d.lanes {
		l := &d.lanes[i]
		if !l.open() {
			continue
		}
		it, ok := l.queue.Pop()
		if !ok {
			continue
		}
		p := a.pending[it.ID]
		delete(a.pending, it.ID)
		a.running[it.ID] = p
		l.underWay++
		return p, true
	}
	return Pending{}, false
}

// Again puts a started call that was refused without running back into its place.
// The caller has checked the retry budget. Error: fault.Overloaded when its deadline
// can no longer be met; the call is then over.
func (a *Admission) Again(id string, now time.Time) error {
	p, known := a.running[id]
	if !known {
		return fault.New(fault.Internal, "request %s is not under way", id)
	}
	delete(a.running, id)
	d := a.destination(p.Destination)
	l := d.lane(p)
	l.underWay--
	l.queue.Adjust(p.Workspace, p.Weight, max(1, p.Tokens), 0)
	if !now.Before(d.expiry(p)) {
		a.hold(p, -1)
		return fault.After(fault.Overloaded, max(l.wait(p), leastRetry), "the deadline would pass")
	}
	a.wait(p, d)
	return nil
}

// Overload notes that an agent refused a started call for overload.
func (a *Admission) Overload(id string, now time.Time) {
	if p, known := a.running[id]; known {
		a.destination(p.Destination).lane(p).overload(p.Class.Band, now)
	}
}

// Done ends a started call. Served is the tokens that it used, took the time from
// hand-over to the whole answer; 0 where it did not succeed.
func (a *Admission) Done(id string, served int64, took time.Duration, now time.Time) {
	p, known := a.running[id]
	if !known {
		return
	}
	delete(a.running, id)
	a.hold(p, -1)
	l := a.destination(p.Destination).lane(p)
	if took > 0 {
		l.grow()
	}
	l.underWay--
	l.queue.Adjust(p.Workspace, p.Weight, max(1, p.Tokens), served)
	if took > 0 {
		// A growing mean brings every expiry forward.
		a.nextExpiry = a.nextExpiry.Add(-l.speed.Observe(p.Class.Band, took))
		l.speed.End(now, max(1, p.Tokens), l.queue.Len() > 0)
	}
}

// Cancel takes out a waiting call whose caller went away; false if it does not wait.
func (a *Admission) Cancel(id string) bool {
	p, known := a.pending[id]
	if !known {
		return false
	}
	a.destination(p.Destination).lane(p).queue.Remove(id)
	a.forget(id)
	return true
}

// Withdraw refuses the waiting calls that came with a key that is withdrawn.
func (a *Admission) Withdraw(keyID string) []Refusal {
	var refusals []Refusal
	for _, name := range slices.Sorted(maps.Keys(a.destinations)) {
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
	if len(a.pending) == 0 || now.Before(a.nextExpiry) {
		return nil
	}
	var refusals []Refusal
	for _, name := range slices.Sorted(maps.Keys(a.destinations)) {
		d := a.destinations[name]
		refusals = append(refusals, a.refuse(name, func(p Pending) error {
			if now.Before(d.expiry(p)) {
				return nil
			}
			return fault.After(fault.Overloaded, max(d.lane(p).wait(p), leastRetry), "the wait for %s would pass the deadline", name)
		})...)
	}
	a.nextExpiry = time.Time{}
	for _, p := range a.pending {
		at := a.destinations[p.Destination].expiry(p)
		if a.nextExpiry.IsZero() || at.Before(a.nextExpiry) {
			a.nextExpiry = at
		}
	}
	return refusals
}

// Wake returns when Expire has something to do; the zero time when nothing waits.
func (a *Admission) Wake() time.Time {
	if len(a.pending) == 0 {
		return time.Time{}
	}
	return a.nextExpiry
}

// Held returns the calls and bytes held now.
func (a *Admission) Held() (calls int, bytes int64) {
	return a.calls, a.bytes
}
