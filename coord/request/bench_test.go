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

// play is a bench of entry hosts and targets around the real admission, retry budget
// and run queue: an event heap, a message delay, and targets that take time.
type play struct {
	r       *rand.Rand
	now     time.Time
	events  events
	serial  int
	entries []*entryHost
	targets []*fakeTarget
	calls   []*playCall
	byID    map[string]*playCall
}

const (
	hop  = time.Millisecond
	dest = "model"
)

type playCall struct {
	call     *request.Call
	pending  request.Pending
	entry    *entryHost
	attempt  *request.Attempt
	at       *fakeTarget
	tokens   int64 // that it really uses
	ran      bool
	handed   time.Time
	first    time.Duration
	answered time.Time
	err      *fault.Error
	answers  int
}

type entryHost struct {
	admission *request.Admission
	budget    *request.RetryBudget
	circuits  map[*fakeTarget]*request.CircuitBreaker
	dead      bool
	sent      map[*fakeTarget]int       // under way
	full      map[*fakeTarget]time.Time // refused for overload until
}

// fakeTarget runs a token in perToken while at most full run at once, and all of them
// proportionally slower beyond.
type fakeTarget struct {
	queue    *target.Queue
	perToken time.Duration
	full     int
	running  map[string]*playCall
	served   int64
}

type event struct {
	at time.Time
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newPlay(seed int64, entries, targets, full int, perToken time.Duration) *play {
	p := &play{r: rand.New(rand.NewSource(seed)), now: start, byID: map[string]*playCall{}}
	for range targets {
		p.targets = append(p.targets, &fakeTarget{queue: target.NewQueue(full), perToken: perToken, full: full, running: map[string]*playCall{}})
	}
	for range entries {
		e := &entryHost{
			admission: request.NewAdmission(request.Bounds{Calls: 4096, Bytes: 1 << 30}),
			budget:    request.NewRetryBudget(), circuits: map[*fakeTarget]*request.CircuitBreaker{}, sent: map[*fakeTarget]int{}, full: map[*fakeTarget]time.Time{},
		}
		for _, t := range p.targets {
			e.circuits[t] = &request.CircuitBreaker{}
		}
		p.entries = append(p.entries, e)
	}
	p.every(5*time.Millisecond, p.expire)
	return p
}

func (p *play) after(d time.Duration, do func()) {
	p.serial++
	heap.Push(&p.events, event{p.now.Add(d), p.serial, do})
}

func (p *play) every(d time.Duration, do func()) {
	p.after(d, func() { do(); p.every(d, do) })
}

func (p *play) run(d time.Duration) {
	end := p.now.Add(d)
	for len(p.events) > 0 && !p.events[0].at.After(end) {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	p.now = end
}

// poisson has a workspace send calls at a rate until a time.
func (p *play) poisson(perSecond float64, until time.Time, send func()) {
	p.after(time.Duration(p.r.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if p.now.Before(until) {
			send()
			p.poisson(perSecond, until, send)
		}
	})
}

// send has a caller send a call that uses half of its tokens on average.
func (p *play) send(e *entryHost, ws string, class request.Class, tokens int64) *playCall {
	p.serial++
	id := fmt.Sprint(p.serial)
	deadline, _ := class.DeadlineOf(p.now, 0)
	c := &playCall{call: request.NewCall(id, ws, class, deadline), entry: e, tokens: 1 + p.r.Int63n(tokens)}
	c.pending = request.Pending{
		ID: id, Workspace: ws, KeyID: "key-" + ws, Destination: dest, Class: class, Weight: 1000,
		Tokens: tokens, Bytes: 100, Arrived: p.now, Deadline: deadline,
	}
	p.calls = append(p.calls, c)
	p.byID[id] = c
	if err := e.admission.Arrive(c.pending, p.now); err != nil {
		p.answer(c, err)
		return c
	}
	p.after(class.Deadline, func() { p.deadline(c) })
	p.pump(e)
	return c
}

func (p *play) find(id string) *playCall { return p.byID[id] }

// deadline gives a call that has no answer yet its final one.
func (p *play) deadline(c *playCall) {
	if c.answers > 0 {
		return
	}
	c.entry.admission.Cancel(c.call.ID)
	c.entry.admission.Done(c.call.ID, 0, 0, p.now)
	t := c.at
	if t != nil {
		p.after(hop, func() { p.cancel(t, c) })
	}
	p.answer(c, fault.New(fault.Expired, "the deadline passed"))
	p.pump(c.entry)
}

func (p *play) cancel(t *fakeTarget, c *playCall) {
	if _, ran := t.queue.Cancel(c.call.ID); ran {
		delete(t.running, c.call.ID)
		t.queue.Done(c.call.ID, 0, false, p.now)
	}
	p.work(t)
}

func (p *play) answer(c *playCall, err error) {
	e, ok := c.call.Answer(err)
	if !ok {
		return
	}
	c.answers++
	c.err, c.answered = e, p.now
}

// pump starts what may start at an entry host.
func (p *play) pump(e *entryHost) {
	for !e.dead {
		next, ok := e.admission.Next(dest, p.now)
		if !ok {
			return
		}
		p.attempt(p.find(next.ID))
	}
}

func (p *play) attempt(c *playCall) {
	t := p.route(c.entry)
	a, err := c.call.Begin(fmt.Sprintf("%s.%d", c.call.ID, c.call.Attempts()), "", p.now)
	if err != nil || !c.call.HandOver(a, p.now) {
		c.entry.admission.Done(c.call.ID, 0, 0, p.now)
		p.answer(c, fault.New(fault.Expired, "the deadline passed"))
		return
	}
	c.attempt, c.at = a, t
	c.entry.sent[t]++
	c.handed = p.now
	p.after(hop, func() { p.reach(t, c, a) })
}

// route takes the target with fewer of this host's own requests, of two at random,
// and not one that refused for overload until the time that it told.
func (p *play) route(e *entryHost) *fakeTarget {
	n := p.r.Intn(len(p.targets))
	one, two := p.targets[n], p.targets[(n+1+p.r.Intn(max(1, len(p.targets)-1)))%len(p.targets)]
	if p.now.Before(e.full[one]) || p.r.Float64() >= e.circuits[one].TrafficShare(p.now) || e.sent[two] < e.sent[one] && !p.now.Before(e.full[two]) && e.circuits[two].TrafficShare(p.now) == 1 {
		return two
	}
	return one
}

func (p *play) reach(t *fakeTarget, c *playCall, a *request.Attempt) {
	w := target.Work{
		ID: c.call.ID, Workspace: c.call.Workspace, Band: c.call.Class.Band, Weight: 1000,
		Tokens: c.pending.Tokens, Arrived: p.now, Deadline: c.call.Deadline,
	}
	if err := t.queue.Push(w, p.now); err != nil {
		p.after(hop, func() { p.refused(t, c, a, err) })
		return
	}
	p.work(t)
}

// work starts what the target's queue lets run.
func (p *play) work(t *fakeTarget) {
	for {
		w, ok := t.queue.Pop(p.now)
		if !ok {
			return
		}
		c := p.find(w.ID)
		c.ran = true
		t.running[w.ID] = c
		slow := max(1, float64(len(t.running))/float64(t.full))
		took := time.Duration(float64(c.tokens) * float64(t.perToken) * slow)
		first := time.Duration(float64(20*t.perToken) * slow)
		p.after(first, func() {
			t.queue.FirstToken(w.ID, p.now)
			c.first = p.now.Sub(c.pending.Arrived)
		})
		p.after(first+took, func() { p.ended(t, c) })
	}
}

func (p *play) ended(t *fakeTarget, c *playCall) {
	if t.running[c.call.ID] != c {
		return
	}
	delete(t.running, c.call.ID)
	t.queue.Done(c.call.ID, c.tokens, true, p.now)
	t.served += c.tokens
	p.work(t)
	a := c.attempt
	p.after(hop, func() {
		c.entry.sent[t]--
		if !c.call.Finish(a) || c.answers > 0 {
			return
		}
		c.entry.budget.Success()
		c.entry.circuits[t].RecordSuccess(p.now)
		c.entry.admission.Done(c.call.ID, c.tokens, p.now.Sub(c.handed), p.now)
		p.answer(c, nil)
		p.pump(c.entry)
	})
}

// refused takes an agent's refusal, which proves that the request did not run.
func (p *play) refused(t *fakeTarget, c *playCall, a *request.Attempt, err error) {
	c.entry.sent[t]--
	if c.answers > 0 {
		return
	}
	e := c.call.Fail(a, err, true)
	if e.Kind == fault.Overloaded {
		c.entry.admission.Overload(c.call.ID, p.now)
		c.entry.full[t] = p.now.Add(e.RetryAfter)
	}
	pause, again := c.entry.budget.Retry(c.call, e, p.now, p.r)
	if !again {
		c.entry.admission.Done(c.call.ID, 0, 0, p.now)
		p.answer(c, e)
		p.pump(c.entry)
		return
	}
	p.after(pause, func() {
		if c.answers > 0 {
			return
		}
		if err := c.entry.admission.Again(c.call.ID, p.now); err != nil {
			p.answer(c, err)
		}
		p.pump(c.entry)
	})
}

func (p *play) expire() {
	for _, e := range p.entries {
		for _, r := range e.admission.Expire(p.now) {
			p.answer(p.find(r.ID), r.Err)
		}
		p.pump(e)
	}
	for _, t := range p.targets {
		for _, r := range t.queue.Expire(p.now) {
			c := p.find(r.ID)
			p.after(hop, func() { p.refused(t, c, c.attempt, r.Err) })
		}
		p.work(t)
	}
}

// figures is what callers of some kind got.
type figures struct {
	sent, ok, late, refused int
	tokens                  int64 // of answers
	waits                   []time.Duration
}

func (f figures) quantile(q float64) time.Duration {
	if len(f.waits) == 0 {
		return 0
	}
	sort.Slice(f.waits, func(i, j int) bool { return f.waits[i] < f.waits[j] })
	return f.waits[int(q*float64(len(f.waits)-1))]
}

func (f figures) String() string {
	return fmt.Sprintf("sent %d ok %d refused %d late %d tokens %d first p50 %v p99 %v",
		f.sent, f.ok, f.refused, f.late, f.tokens, f.quantile(0.5).Round(time.Millisecond), f.quantile(0.99).Round(time.Millisecond))
}

// got sums up the calls that match.
func (p *play) got(match func(*playCall) bool) figures {
	var f figures
	for _, c := range p.calls {
		if !match(c) {
			continue
		}
		f.sent++
		switch {
		case c.answers == 0:
		case c.err == nil:
			f.ok++
			f.tokens += c.tokens
			f.waits = append(f.waits, c.first)
		case c.err.Kind == fault.Expired || c.err.Kind == fault.Timeout:
			f.late++
		default:
			f.refused++
		}
	}
	return f
}

var (
	interactive = request.Class{Name: "counter", Band: fair.Interactive, Deadline: 4 * time.Second, Repeatable: true}
	mustFinish  = request.Class{Name: "brief", Band: fair.MustFinish, Deadline: 10 * time.Minute, Repeatable: true}
	order       = request.Class{Name: "order", Band: fair.Interactive, Deadline: 4 * time.Second}
)
