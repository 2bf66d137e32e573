package experiment

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cowsliptiller/coord/config"
)

// Times that the driver takes for what it does not model.
const (
	hop        = 2 * time.Millisecond   // a message between two processes
	commit     = 5 * time.Millisecond   // a decision in the replicated log
	viewLag    = 50 * time.Millisecond  // until entry hosts see a committed change
	tick       = 50 * time.Millisecond  // rounds of control and reports to it
	lossDetect = 2 * time.Second        // until control knows that a target is gone
	unloadTime = 200 * time.Millisecond // of a replica that runs nothing
	localShare = 0.5                    // of a load's time from the host's own disk
)

// world is one run: a clock, events, and the parts.
type world struct {
	config   *config.Configuration
	scenario Scenario
	rnd      *rand.Rand
	now      time.Duration
	events   events
	sequence int
	requests []*request
	limiter  limiter
	entries  []*entry
	control  *control
	targets  map[string]*target
	names    []string // of targets, in order
	store    store
	measure  measure
}

// epoch is the wall time of the run's start; decisions take time as an argument.
var epoch = time.Unix(1_800_000_000, 0)

func (w *world) time() time.Time { return epoch.Add(w.now) }

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// after does something later; events of one time happen in the order of asking.
func (w *world) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{w.now + d, w.sequence, do})
}

// drain is how long a run goes on after the last arrival, so that each request
// gets its final answer.
const drain = 6 * time.Minute

// run plays one scenario under one policy.
func run(d Deployment, s Scenario, p policy, seed uint64) Result {
	w := &world{config: d.configuration(), scenario: s, rnd: rand.New(rand.NewPCG(seed, 99)), targets: map[string]*target{}}
	if s.overRate() {
		raiseRates(w.config)
	}
	w.requests = arrivals(d, s, seed)
	w.measure.markInside(w)
	w.build(d, p)
	for _, f := range s.Events {
		w.after(f.at, func() { w.strike(f) })
	}
	w.after(0, w.tick)
	next := 0
	w.arrive(&next)
	w.loop()
	return w.measure.result(w)
}

// loop plays the events in order of time until none is left.
func (w *world) loop() {
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// raiseRates lets the workspaces send what a saturating scenario asks for.
func raiseRates(c *config.Configuration) {
	for name, ws := range c.Workspaces {
		ws.Rate *= 10
		ws.Burst *= 10
		c.Workspaces[name] = ws
	}
}

func (w *world) build(d Deployment, p policy) {
	w.store = store{full: float64(d.LoadsFull), rate: d.LoadRate, speed: 1}
	for name, spec := range w.config.Targets {
		w.targets[name] = newTarget(w, spec, p.queue(w, spec))
	}
	w.names = slices.Sorted(maps.Keys(w.targets))
	w.limiter = p.limiter(w)
	w.control = newControl(w, p.planner(w))
	for i := range d.Entries {
		e := &entry{w: w, number: i, room: p.room(w, i), chooser: p.chooser(w, i), served: map[string]int64{}}
		w.entries = append(w.entries, e)
	}
	w.control.publish()
}

// arrive feeds the arrivals one by one.
func (w *world) arrive(next *int) {
	if *next == len(w.requests) {
		return
	}
	r := w.requests[*next]
	w.after(r.at-w.now, func() {
		*next++
		w.entries[r.entry].arrive(r)
		w.arrive(next)
	})
}

func (w *world) tick() {
	w.limiter.tick()
	for _, e := range w.entries {
		e.tick()
	}
	for _, name := range w.names {
		w.targets[name].tick()
	}
	w.control.tick()
	w.measure.sample(w)
	if w.now < w.scenario.Duration+drain {
		w.after(tick, w.tick)
	}
}

// strike makes a fault happen.
func (w *world) strike(f incident) {
	switch f.kind {
	case slowTarget:
		t := w.targets[w.names[f.target]]
		t.slow = f.factor
		w.after(f.until-f.at, func() { t.slow = 1 })
	case loseTarget:
		w.targets[w.names[f.target]].die()
	case leaveTarget:
		w.targets[w.names[f.target]].leave()
	case slowStore:
		w.store.setSpeed(w, 1/f.factor)
		w.after(f.until-f.at, func() { w.store.setSpeed(w, 1) })
	}
}
