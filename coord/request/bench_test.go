package request_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"sort"
	"time"

	"cowsliptiller/coord/fair"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/target"
)

// simulation is a discrete-event simulation of entry hosts and targets. Admission control,
// retry budget and run queue are the real ones; the network is a fixed delay, and targets
// take time to run a call.
type simulation struct {
	r       *rand.Rand
	now     time.Time
	events  events
	lastID  int
	entries []*entryHost
	targets []*fakeTarget
	calls   []*simCall
	byID    map[string]*simCall
}

const (
	networkDelay = time.Millisecond
	dest         = "model"
)

type simCall struct {
	call             *request.Call
	pending          request.Pending
	entry            *entryHost
	attempt          *request.Attempt
	target           *fakeTarget
	tokens           int64 // tokens that the call uses
	ran              bool
	handedOver       time.Time
	timeToFirstToken time.Duration
	answered         time.Time
	err              *fault.Error
	answers          int
}

type entryHost struct {
	admission       *request.Admission
	budget          *request.RetryBudget
	circuits        map[*fakeTarget]*request.CircuitBreaker
	dead            bool
	inFlight        map[*fakeTarget]int       // attempts in flight, by target
	overloadedUntil map[*fakeTarget]time.Time // end of the RetryAfter of the latest refusal for overload
}

// fakeTarget takes perToken for each token while at most slots calls run at once. With more,
// all calls slow down in proportion.
type fakeTarget struct {
	queue    *target.Queue
	perToken time.Duration
	slots    int
	running  map[string]*simCall
	served   int64
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(seed int64, entries, targets, slots int, perToken time.Duration) *simulation {
	s := &simulation{r: rand.New(rand.NewSource(seed)), now: start, byID: map[string]*simCall{}}
	for range targets {
		s.targets = append(s.targets, &fakeTarget{queue: target.NewQueue(slots), perToken: perToken, slots: slots, running: map[string]*simCall{}})
	}
	for range entries {
		e := &entryHost{
			admission: request.NewAdmission(request.Bounds{Calls: 4096, Bytes: 1 << 30}),
			budget:    request.NewRetryBudget(), circuits: map[*fakeTarget]*request.CircuitBreaker{}, inFlight: map[*fakeTarget]int{}, overloadedUntil: map[*fakeTarget]time.Time{},
		}
		for _, t := range s.targets {
			e.circuits[t] = &request.CircuitBreaker{}
		}
		s.entries = append(s.entries, e)
	}
	s.every(5*time.Millisecond, s.expireQueues)
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.lastID++
	heap.Push(&s.events, event{s.now.Add(d), s.lastID, do})
}

func (s *simulation) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// sendPoisson calls send at the times of a Poisson process with the rate perSecond, until the
// given time.
func (s *simulation) sendPoisson(perSecond float64, until time.Time, send func()) {
	s.after(time.Duration(s.r.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if s.now.Before(until) {
			send()
			s.sendPoisson(perSecond, until, send)
		}
	})
}

// send sends a call to an entry host. The call uses half of tokens on average.
func (s *simulation) send(e *entryHost, ws string, class request.Class, tokens int64) *simCall {
	s.lastID++
	id := fmt.Sprint(s.lastID)
	deadline, _ := class.DeadlineOf(s.now, 0)
	c := &simCall{call: request.NewCall(id, ws, class, deadline), entry: e, tokens: 1 + s.r.Int63n(tokens)}
	c.pending = request.Pending{
		ID: id, Workspace: ws, KeyID: "key-" + ws, Destination: dest, Class: class, Weight: 1000,
		Tokens: tokens, Bytes: 100, Arrived: s.now, Deadline: deadline,
	}
	s.calls = append(s.calls, c)
	s.byID[id] = c
	if err := e.admission.Enqueue(c.pending, s.now); err != nil {
		s.answer(c, err)
		return c
	}
	s.after(class.Deadline, func() { s.expireCall(c) })
	s.startCalls(e)
	return c
}

func (s *simulation) find(id string) *simCall { return s.byID[id] }

// expireCall ends a call that has no final answer at its deadline.
func (s *simulation) expireCall(c *simCall) {
	if c.answers > 0 {
		return
	}
	c.entry.admission.Cancel(c.call.ID)
	c.entry.admission.Done(c.call.ID, 0, 0, s.now)
	t := c.target
	if t != nil {
		s.after(networkDelay, func() { s.cancelAtTarget(t, c) })
	}
	s.answer(c, fault.New(fault.Expired, "the deadline passed"))
	s.startCalls(c.entry)
}

func (s *simulation) cancelAtTarget(t *fakeTarget, c *simCall) {
	if _, ran := t.queue.Cancel(c.call.ID); ran {
		delete(t.running, c.call.ID)
		t.queue.Done(c.call.ID, 0, false, s.now)
	}
	s.startRuns(t)
}

func (s *simulation) answer(c *simCall, err error) {
	e, ok := c.call.Resolve(err)
	if !ok {
		return
	}
	c.answers++
	c.err, c.answered = e, s.now
}

// startCalls starts the queued calls of an entry host that may start.
func (s *simulation) startCalls(e *entryHost) {
	for !e.dead {
		next, ok := e.admission.Next(dest, s.now)
		if !ok {
			return
		}
		s.startAttempt(s.find(next.ID))
	}
}

func (s *simulation) startAttempt(c *simCall) {
	t := s.pickTarget(c.entry)
	a, err := c.call.Begin(fmt.Sprintf("%s.%d", c.call.ID, c.call.Attempts()), "", s.now)
	if err != nil || !c.call.HandOver(a, s.now) {
		c.entry.admission.Done(c.call.ID, 0, 0, s.now)
		s.answer(c, fault.New(fault.Expired, "the deadline passed"))
		return
	}
	c.attempt, c.target = a, t
	c.entry.inFlight[t]++
	c.handedOver = s.now
	s.after(networkDelay, func() { s.deliver(t, c, a) })
}

// pickTarget picks, of two random targets, the one with fewer of this host's own attempts in
// flight. It avoids a target that refused for overload until its RetryAfter has passed.
func (s *simulation) pickTarget(e *entryHost) *fakeTarget {
	n := s.r.Intn(len(s.targets))
	one, two := s.targets[n], s.targets[(n+1+s.r.Intn(max(1, len(s.targets)-1)))%len(s.targets)]
	if s.now.Before(e.overloadedUntil[one]) || s.r.Float64() >= e.circuits[one].TrafficShare(s.now) || e.inFlight[two] < e.inFlight[one] && !s.now.Before(e.overloadedUntil[two]) && e.circuits[two].TrafficShare(s.now) == 1 {
		return two
	}
	return one
}

func (s *simulation) deliver(t *fakeTarget, c *simCall, a *request.Attempt) {
	w := target.Work{
		ID: c.call.ID, Workspace: c.call.Workspace, Band: c.call.Class.Band, Weight: 1000,
		Tokens: c.pending.Tokens, Arrived: s.now, Deadline: c.call.Deadline,
	}
	if err := t.queue.Push(w, s.now); err != nil {
		s.after(networkDelay, func() { s.handleRefusal(t, c, a, err) })
		return
	}
	s.startRuns(t)
}

// startRuns starts the calls that the target's queue releases.
func (s *simulation) startRuns(t *fakeTarget) {
	for {
		w, ok := t.queue.Pop(s.now)
		if !ok {
			return
		}
		c := s.find(w.ID)
		c.ran = true
		t.running[w.ID] = c
		slow := max(1, float64(len(t.running))/float64(t.slots))
		took := time.Duration(float64(c.tokens) * float64(t.perToken) * slow)
		first := time.Duration(float64(20*t.perToken) * slow)
		s.after(first, func() {
			t.queue.FirstToken(w.ID, s.now)
			c.timeToFirstToken = s.now.Sub(c.pending.Arrived)
		})
		s.after(first+took, func() { s.finishRun(t, c) })
	}
}

func (s *simulation) finishRun(t *fakeTarget, c *simCall) {
	if t.running[c.call.ID] != c {
		return
	}
	delete(t.running, c.call.ID)
	t.queue.Done(c.call.ID, c.tokens, true, s.now)
	t.served += c.tokens
	s.startRuns(t)
	a := c.attempt
	s.after(networkDelay, func() {
		c.entry.inFlight[t]--
		if !c.call.MarkFinished(a) || c.answers > 0 {
			return
		}
		c.entry.budget.RecordSuccess()
		c.entry.circuits[t].RecordSuccess(s.now)
		c.entry.admission.Done(c.call.ID, c.tokens, s.now.Sub(c.handedOver), s.now)
		s.answer(c, nil)
		s.startCalls(c.entry)
	})
}

// handleRefusal handles an agent's refusal, which proves that the request did not run.
func (s *simulation) handleRefusal(t *fakeTarget, c *simCall, a *request.Attempt, err error) {
	c.entry.inFlight[t]--
	if c.answers > 0 {
		return
	}
	e := c.call.Fail(a, err, true)
	if e.Kind == fault.Overloaded {
		c.entry.admission.ReportOverload(c.call.ID, s.now)
		c.entry.overloadedUntil[t] = s.now.Add(e.RetryAfter)
	}
	pause, again := c.entry.budget.Retry(c.call, e, s.now, s.r)
	if !again {
		c.entry.admission.Done(c.call.ID, 0, 0, s.now)
		s.answer(c, e)
		s.startCalls(c.entry)
		return
	}
	s.after(pause, func() {
		if c.answers > 0 {
			return
		}
		if err := c.entry.admission.Requeue(c.call.ID, s.now); err != nil {
			s.answer(c, err)
		}
		s.startCalls(c.entry)
	})
}

func (s *simulation) expireQueues() {
	for _, e := range s.entries {
		for _, r := range e.admission.Expire(s.now) {
			s.answer(s.find(r.ID), r.Err)
		}
		s.startCalls(e)
	}
	for _, t := range s.targets {
		for _, r := range t.queue.Expire(s.now) {
			c := s.find(r.ID)
			s.after(networkDelay, func() { s.handleRefusal(t, c, c.attempt, r.Err) })
		}
		s.startRuns(t)
	}
}

// callStats counts the results of a set of calls.
type callStats struct {
	sent, ok, late, refused int
	tokens                  int64 // tokens of complete answers
	timesToFirstToken       []time.Duration
}

func (stats callStats) quantile(q float64) time.Duration {
	if len(stats.timesToFirstToken) == 0 {
		return 0
	}
	sort.Slice(stats.timesToFirstToken, func(i, j int) bool { return stats.timesToFirstToken[i] < stats.timesToFirstToken[j] })
	return stats.timesToFirstToken[int(q*float64(len(stats.timesToFirstToken)-1))]
}

func (stats callStats) String() string {
	return fmt.Sprintf("sent %d ok %d refused %d late %d tokens %d first p50 %v p99 %v",
		stats.sent, stats.ok, stats.refused, stats.late, stats.tokens, stats.quantile(0.5).Round(time.Millisecond), stats.quantile(0.99).Round(time.Millisecond))
}

// results returns the statistics of the calls that match.
func (s *simulation) results(match func(*simCall) bool) callStats {
	var stats callStats
	for _, c := range s.calls {
		if !match(c) {
			continue
		}
		stats.sent++
		switch {
		case c.answers == 0:
		case c.err == nil:
			stats.ok++
			stats.tokens += c.tokens
			stats.timesToFirstToken = append(stats.timesToFirstToken, c.timeToFirstToken)
		case c.err.Kind == fault.Expired || c.err.Kind == fault.Timeout:
			stats.late++
		default:
			stats.refused++
		}
	}
	return stats
}

var (
	interactive   = request.Class{Name: "interactive", Band: fair.Interactive, Deadline: 4 * time.Second, Repeatable: true}
	mustFinish    = request.Class{Name: "must-finish", Band: fair.MustFinish, Deadline: 10 * time.Minute, Repeatable: true}
	nonRepeatable = request.Class{Name: "order", Band: fair.Interactive, Deadline: 4 * time.Second}
)
