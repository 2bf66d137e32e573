package experiment

import (
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/placement"
)

// target is an engine with its agent: it takes time and memory.
type target struct {
	w        *world
	spec     config.TargetSpec
	queue    queue
	held     map[string]*holding
	used     int64
	running  map[*request]bool
	slow     float64
	dead     bool
	leaving  bool
	adapters recent
	prefixes recent
}

type holding struct {
	ready    bool
	ending   bool
	running  int
	lastUsed time.Duration
}

// Entries that an engine keeps beside the weights.
const (
	keptAdapters = 16
	keptPrefixes = 256
	// cachedPrompt is the share of a prompt's time that is left when its
	// prefix is cached.
	cachedPrompt = 0.2
	adapterLoad  = 8 * time.Millisecond
)

func newTarget(w *world, spec config.TargetSpec, q queue) *target {
	return &target{w: w, spec: spec, queue: q, held: map[string]*holding{}, running: map[*request]bool{}, slow: 1,
		adapters: recent{limit: keptAdapters}, prefixes: recent{limit: keptPrefixes}}
}

// order carries out a committed decision.
func (t *target) order(d placement.Decision) {
	if t.dead {
		return
	}
	if d.Load {
		t.load(d.Model)
		return
	}
	t.unload(d.Model)
}

func (t *target) load(model string) {
	spec := t.w.config.Models[model]
	if t.held[model] != nil {
		return
	}
	if t.leaving || t.used+spec.Bytes > t.spec.WeightBytes() {
		t.w.control.confirm(model, t.spec.Name, false)
		return
	}
	t.used += spec.Bytes
	h := &holding{lastUsed: t.w.now}
	t.held[model] = h
	done := func() {
		if t.dead {
			return
		}
		h.ready, h.lastUsed = true, t.w.now
		t.w.control.confirm(model, t.spec.Name, true)
	}
	for _, c := range spec.Cached {
		if c == t.spec.Name {
			t.w.after(time.Duration(localShare*float64(spec.LoadTime)), done)
			return
		}
	}
	t.w.store.fetch(t.w, spec.LoadTime.Seconds(), done)
}

// unload drains what runs on the model, then frees its memory.
func (t *target) unload(model string) {
	h := t.held[model]
	if h == nil || h.ending {
		return
	}
	h.ending = true
	t.freeIfIdle(model, h)
}

func (t *target) freeIfIdle(model string, h *holding) {
	if !h.ending || h.running > 0 {
		return
	}
	t.w.after(unloadTime, func() {
		if t.dead || t.held[model] != h {
			return
		}
		delete(t.held, model)
		t.used -= t.w.config.Models[model].Bytes
		t.w.control.confirm(model, t.spec.Name, false)
	})
}

// refusal is an agent's answer to a request that it does not take.
type refusal struct {
	leaving  bool
	notHere  bool
	resident []string
}

// take lets a request in, or refuses it without running it.
func (t *target) take(r *request) *refusal {
	h := t.held[r.model]
	switch {
	case t.leaving:
		return &refusal{leaving: true}
	case h == nil || !h.ready || h.ending:
		return &refusal{notHere: true, resident: t.resident()}
	case !t.queue.push(r):
		return &refusal{}
	}
	h.running++
	t.pump()
	return nil
}

func (t *target) resident() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(t.held)) {
		if h := t.held[name]; h.ready && !h.ending {
			names = append(names, name)
		}
	}
	return names
}

// pump starts what the queue lets run.
func (t *target) pump() {
	for r := t.queue.pop(); r != nil; r = t.queue.pop() {
		t.start(r)
	}
}

// start runs a request: the engine batches, at full speed up to its concurrency
// and proportionally slower beyond.
func (t *target) start(r *request) {
	t.running[r] = true
	r.startAt = t.w.now
	prompt := float64(r.prompt) * promptSeconds
	if t.prefixes.use(r.prefix) {
		prompt *= cachedPrompt
	}
	if r.adapter != "" && !t.adapters.use(hashName(r.adapter)) {
		prompt += adapterLoad.Seconds()
	}
	share := max(1, float64(len(t.running))/float64(t.spec.Concurrency)) * t.slow
	first := time.Duration(prompt * share * float64(time.Second))
	whole := first + time.Duration(float64(r.output)*tokenSeconds*share*float64(time.Second))
	t.w.after(first, func() {
		if t.running[r] {
			t.queue.first(r)
		}
	})
	t.w.after(whole, func() {
		if t.running[r] {
			t.finish(r)
		}
	})
}

func (t *target) finish(r *request) {
	delete(t.running, r)
	t.queue.done(r, true)
	t.left(r)
	load := t.queue.load()
	took := t.w.now - r.startAt
	t.w.after(hop, func() { t.w.entries[r.entry].answered(r, took, load) })
	t.pump()
}

// left notes that a request no longer needs its model here.
func (t *target) left(r *request) {
	h := t.held[r.model]
	if h == nil {
		return
	}
	h.running--
	h.lastUsed = t.w.now
	t.freeIfIdle(r.model, h)
}

// tick refuses what waited here too long.
func (t *target) tick() {
	for _, r := range t.queue.expire() {
		t.left(r)
		t.w.after(hop, func() { t.w.entries[r.entry].expired(r) })
	}
	t.pump()
}

func (t *target) report() placement.Report {
	load := t.queue.load()
	p := placement.Report{Target: t.spec.Name, Running: load.Running, Queued: load.Queued}
	for _, name := range slices.Sorted(maps.Keys(t.held)) {
		h := t.held[name]
		m := placement.ModelReport{Model: name, Running: h.running}
		if h.running == 0 {
			m.Idle = t.w.now - h.lastUsed
		}
		p.Models = append(p.Models, m)
	}
	return p
}

// die loses everything that runs and waits here.
func (t *target) die() {
	t.dead = true
	ran, waited := t.queue.crash()
	t.running = map[*request]bool{}
	t.held = map[string]*holding{}
	for _, r := range append(ran, waited...) {
		t.w.after(hop, func() { t.w.entries[r.entry].broken(r) })
	}
	t.w.after(lossDetect, t.w.control.standing)
}

func (t *target) leave() {
	t.leaving = true
	for _, r := range t.queue.drain() {
		t.left(r)
		t.w.after(hop, func() { t.w.entries[r.entry].refused(r, &refusal{leaving: true}, t.queue.load()) })
	}
	t.w.after(lossDetect, t.w.control.standing)
}
