package target

import (
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
)

// Load pattern: more requests reach a target than it runs at full speed; long work
// among short; callers who give up while they wait; a request that must run alone.
//
// Without a limit on what runs, the engine's batch grows until every first token is
// late. Without refusing at once what cannot meet its deadline, the queue holds work
// that is thrown away later. Without cancelling, a target works for nobody. With long
// work in every place, a short request waits for the end of a long one.
//
// Thresholds: see limit.go for what runs. What waits is bounded by four rounds of it in
// each class, so that long work does not shut out short; the entry hosts hold the rest.
// A workspace may have as many waiting as places are left free, so that one does not
// fill the queue. Long work, four times the mean or work that only has to finish,
// takes at most three quarters of the places: short work always finds some that
// turn over soon.

const (
	waitFactor = 4
	longShare  = 0.75
	longFactor = 4
	// prefixLook is how many items of a workspace are looked through for one whose
	// prefix is cached; maxPassed is how often one is passed over for that.
	prefixLook = 8
	maxPassed  = 4
)

// Work is one request at the target.
type Work struct {
	ID        string
	Workspace string
	KeyID     string
	Model     string
	Band      fair.Band
	Weight    int64 // of the workspace: its rate
	Tokens    int64 // prompt and the most that it may generate
	Alone     bool  // suspected to crash its target: nothing may run beside it
	Prefix    string
	Arrived   time.Time
	Deadline  time.Time
}

// Queue is the run queue of one target.
type Queue struct {
	limit    *Limit
	prefixes *Prefixes
	queue    fair.Queue
	waiting  map[string]*waitingWork
	suspects int                           // waiting, that must run alone
	spaces   [fair.NumBands]map[string]int // waiting, by workspace
	running  map[string]*run
	long     int
	alone    bool // a request that must run alone runs
	draining bool
	speed    fair.ServiceStats
	tokens   float64 // moving mean of the expected tokens of what started
}

type waitingWork struct {
	Work
	passed int // how often one behind it went first for its prefix
}

type run struct {
	work    Work
	long    bool
	started time.Time
	first   time.Duration // time to the first token; 0 until then
}

// NewQueue returns an empty queue for a target that runs concurrency requests at once
// at full speed.
func NewQueue(concurrency int) *Queue {
	return &Queue{
		limit:    NewLimit(concurrency),
		prefixes: NewPrefixes(),
		waiting:  make(map[string]*waitingWork),
		running:  make(map[string]*run),
		spaces:   [fair.NumBands]map[string]int{{}, {}, {}},
	}
}

// Prefixes returns what is believed to be in the engine's prefix cache; the agent
// feeds it the engine's events.
func (q *Queue) Prefixes() *Prefixes { return q.prefixes }

// Push takes a request to run or wait. Errors, all not run: fault.Leaving while
// draining, fault.Expired past the deadline, fault.Overloaded when the queue is full or
// the wait would pass the deadline.
func (q *Queue) Push(w Work, now time.Time) error {
	switch {
	case q.draining:
		return fault.New(fault.Leaving, "the target takes no new work")
	case !now.Before(w.Deadline):
		return fault.New(fault.Expired, "the deadline passed")
	case q.spaces[w.Band][w.Workspace] >= waitFactor*q.limit.Current()-q.queue.Waiting(w.Band):
		return fault.After(fault.Overloaded, max(leastRetry, q.wait(w)), "%d requests wait", len(q.waiting))
	}
	if late := now.Add(q.wait(w)).Sub(q.latestStart(w)); late > 0 {
		return fault.After(fault.Overloaded, max(leastRetry, late), "the wait would pass the deadline")
	}
	w.Tokens = max(1, w.Tokens)
	q.waiting[w.ID] = &waitingWork{Work: w}
	q.spaces[w.Band][w.Workspace]++
	if w.Alone {
		q.suspects++
	}
	q.queue.Push(fair.Item{
		ID: w.ID, Workspace: w.Workspace, Band: w.Band, Weight: w.Weight,
		Tokens: w.Tokens, Deadline: w.Deadline, Arrived: w.Arrived,
	})
	return nil
}

// latestStart is when a request must run at the latest to end by its deadline.
func (q *Queue) latestStart(w Work) time.Time {
	return w.Deadline.Add(-q.speed.Margin(w.Band, w.Deadline.Sub(w.Arrived)))
}

// leastRetry keeps who is told to come back from doing so in a tight loop.
const leastRetry = 10 * time.Millisecond

// wait forecasts how long a request that comes now waits.
func (q *Queue) wait(w Work) time.Duration {
	if len(q.waiting) == 0 && len(q.running) < q.limit.Current() {
		return 0
	}
	return q.speed.DrainTime(q.queue.TokensAhead(w.Workspace, w.Weight, w.Band))
}

// Pop returns the request to start now, if one may. Call it until it returns none,
// after each Push, Done, Cancel and Expire.
func (q *Queue) Pop(now time.Time) (Work, bool) {
	if q.alone || len(q.running) >= q.limit.Current() {
		return Work{}, false
	}
	choose := q.choose
	if q.aloneIsDue(now) {
		choose = q.chooseAlone
	}
	it, ok := q.queue.PopBy(choose)
	if !ok {
		return Work{}, false
	}
	q.notePassed(it)
	w := q.leave(it.ID)
	r := &run{work: w, long: q.isLong(w), started: now}
	q.running[w.ID] = r
	q.alone = w.Alone
	if r.long {
		q.long++
	}
	if q.tokens == 0 {
		q.tokens = float64(w.Tokens)
	}
	q.tokens += (float64(w.Tokens) - q.tokens) / firstWeight
	return w, true
}

// leave takes a request off the tables of what waits.
func (q *Queue) leave(id string) Work {
	w := q.waiting[id].Work
	delete(q.waiting, id)
	if w.Alone {
		q.suspects--
	}
	q.spaces[w.Band][w.Workspace]--
	if q.spaces[w.Band][w.Workspace] == 0 {
		delete(q.spaces[w.Band], w.Workspace)
	}
	return w
}

// FirstToken notes the first token of a running request.
func (q *Queue) FirstToken(id string, now time.Time) {
	r, known := q.running[id]
	if !known || r.first > 0 {
		return
	}
	r.first = max(1, now.Sub(r.started))
	q.limit.Observe(r.first, len(q.running), now)
	q.prefixes.Touch(r.work.Prefix)
}

// Done ends a running request that used tokens; ok says that it was answered.
func (q *Queue) Done(id string, tokens int64, ok bool, now time.Time) {
	r, known := q.running[id]
	if !known {
		return
	}
	delete(q.running, id)
	q.alone = q.alone && !r.work.Alone
	if r.long {
		q.long--
	}
	q.queue.Adjust(r.work.Workspace, r.work.Weight, r.work.Tokens, tokens)
	if ok {
		q.speed.Observe(r.work.Band, now.Sub(r.started))
	}
	q.speed.ObserveEnd(now, r.work.Tokens, len(q.waiting) > 0)
}

// Cancel takes out a request that nobody waits for. Waited says that it never ran;
// ran says that it runs and its stream must be cancelled, after which Done is due.
func (q *Queue) Cancel(id string) (waited, ran bool) {
	if _, known := q.waiting[id]; known {
		q.leave(id)
		q.queue.Remove(id)
		return true, false
	}
	_, ran = q.running[id]
	return false, ran
}

// Refusal is the final word on a request that waited here; it did not run.
type Refusal struct {
	ID  string
	Err error
}

// Expire refuses the waiting requests that cannot end by their deadline.
func (q *Queue) Expire(now time.Time) []Refusal {
	return q.refuse(func(w Work) error {
		if now.Before(q.latestStart(w)) {
			return nil
		}
		return fault.After(fault.Overloaded, max(leastRetry, q.wait(w)), "the deadline would pass")
	})
}

// Withdraw refuses the waiting requests that came with a key that is withdrawn.
func (q *Queue) Withdraw(keyID string) []Refusal {
	return q.refuse(func(w Work) error {
		if w.KeyID != keyID {
			return nil
		}
		return fault.New(fault.Unauthenticated, "the key was withdrawn")
	})
}

func (q *Queue) refuse(verdict func(Work) error) []Refusal {
	errs := make(map[string]error)
	removed := q.queue.RemoveIf(func(it fair.Item) bool {
		err := verdict(q.waiting[it.ID].Work)
		if err != nil {
			errs[it.ID] = err
		}
		return err != nil
	})
	refusals := make([]Refusal, 0, len(removed))
	for _, it := range removed {
		q.leave(it.ID)
		refusals = append(refusals, Refusal{it.ID, errs[it.ID]})
	}
	return refusals
}

// Drain makes the queue refuse new work; the waiting requests are refused at once, not
// run, so that they go elsewhere while there is time. What runs goes on.
func (q *Queue) Drain() []Refusal {
	q.draining = true
	return q.refuse(func(Work) error { return fault.New(fault.Leaving, "the target takes no new work") })
}

// Idle reports whether nothing runs or waits: a draining target may go.
func (q *Queue) Idle() bool {
	return len(q.running) == 0 && len(q.waiting) == 0
}

// Crash ends everything that ran when the target died. It returns the requests that
// ran, in order of id.
func (q *Queue) Crash(now time.Time) []Work {
	var ran []Work
	for _, id := range slices.Sorted(maps.Keys(q.running)) {
		ran = append(ran, q.running[id].work)
		q.Done(id, 0, false, now)
	}
	q.prefixes.Forget()
	return ran
}

// Load is what replies carry back to entry hosts.
type Load struct {
	Running int
	Queued  int
	Limit   int
	Service time.Duration
}

// Load returns the present load.
func (q *Queue) Load() Load {
	return Load{len(q.running), len(q.waiting), q.limit.Current(), q.speed.Mean(fair.Interactive)}
}
