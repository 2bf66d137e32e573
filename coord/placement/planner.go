package placement

import (
	"slices"
	"sort"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
)

// Planner decides on replicas. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	store    store
	models   map[string]*model
	targets  map[string]*target
	// sorted, so that no iteration over a map decides anything
	modelNames  []string
	targetNames []string
	replicas    map[replicaKey]*replica
	failures    map[replicaKey]failure
	reach       reach
	scarcity    float64
	ready       bool      // a configuration was given
	began       time.Time // when the first one was
}

// New returns a planner that decides nothing before its first configuration.
func New(s Settings) *Planner {
	return &Planner{
		settings: s,
		models:   map[string]*model{},
		targets:  map[string]*target{},
		replicas: map[replicaKey]*replica{},
		failures: map[replicaKey]failure{},
	}
}

// Configure takes a configuration. Models and targets that it no longer names
// are unloaded; what was measured of the others stays.
func (p *Planner) Configure(c *config.Configuration, now time.Time) {
	if !p.ready {
		p.ready, p.began = true, now
	}
	p.reach.measured = false
	p.store.configure(c.Store, now)
	for _, m := range p.models {
		m.known = false
	}
	for _, t := range p.targets {
		t.known = false
	}
	for name, spec := range c.Models {
		m := p.modelFor(name)
		m.spec, m.known = spec, true
		m.cached = map[string]bool{}
		for _, t := range spec.Cached {
			m.cached[t] = true
		}
	}
	for name, spec := range c.Targets {
		t := p.targetFor(name)
		t.spec, t.known = spec, true
	}
	p.count()
}

// SetTargets takes the standing of all targets; one that is not listed is not live.
func (p *Planner) SetTargets(list []Target, _ time.Time) {
	for _, t := range p.targets {
		t.live = false
	}
	for _, s := range list {
		t := p.targetFor(s.Name)
		t.live, t.leaving = s.Live, s.Leaving
	}
}

// ObserveReport takes an agent's newest report.
func (p *Planner) ObserveReport(r Report, now time.Time) {
	t := p.targetFor(r.Target)
	t.running, t.queued, t.reported = r.Running, r.Queued, now
	for _, m := range r.Models {
		held := p.replicas[replicaKey{m.Model, r.Target}]
		if held == nil {
			continue
		}
		held.running = m.Running
		if used := now.Add(-m.Idle); used.After(held.lastUsed) {
			held.lastUsed = used
		}
	}
}

// ObserveDemand takes an entry host's newest report on each model it lists; its
// earlier word on these models is replaced.
func (p *Planner) ObserveDemand(host string, list []Demand, now time.Time) {
	for _, d := range list {
		m := p.models[d.Model]
		if m == nil || !m.known {
			continue
		}
		// Arrivals are at least what was answered plus what more is waiting.
		// Counting only answers would never learn of a model whose cold
		// start is always too late.
		came := float64(d.Served) + float64(d.Waiting-m.hosts[host].Waiting)
		m.arrivals.note(came, now)
		m.hosts[host] = hostDemand{d, now}
	}
}

func (p *Planner) modelFor(name string) *model {
	m := p.models[name]
	if m == nil {
		m = &model{spec: config.ModelSpec{Name: name}, hosts: map[string]hostDemand{}}
		p.models[name] = m
		p.modelNames = insertName(p.modelNames, name)
	}
	return m
}

func (p *Planner) targetFor(name string) *target {
	t := p.targets[name]
	if t == nil {
		t = &target{spec: config.TargetSpec{Name: name}}
		p.targets[name] = t
		p.targetNames = insertName(p.targetNames, name)
	}
	return t
}

func insertName(names []string, name string) []string {
	at, _ := slices.BinarySearch(names, name)
	return slices.Insert(names, at, name)
}

// count derives each target's memory and the lists of replicas anew.
func (p *Planner) count() {
	for _, m := range p.models {
		m.replicas = m.replicas[:0]
	}
	for _, t := range p.targets {
		t.replicas = t.replicas[:0]
		t.used = 0
	}
	for _, r := range p.replicas {
		if r.model.known {
			r.bytes = max(r.bytes, r.model.spec.Bytes)
		}
		r.model.replicas = append(r.model.replicas, r)
		r.target.replicas = append(r.target.replicas, r)
		r.target.used += r.bytes
	}
	for _, m := range p.models {
		sort.Slice(m.replicas, func(i, j int) bool {
			return m.replicas[i].target.spec.Name < m.replicas[j].target.spec.Name
		})
	}
	for _, t := range p.targets {
		sort.Slice(t.replicas, func(i, j int) bool {
			return t.replicas[i].model.spec.Name < t.replicas[j].model.spec.Name
		})
	}
}

func (p *Planner) each(f func(*model)) {
	for _, name := range p.modelNames {
		f(p.models[name])
	}
}

const (
	stateLoad   = coordpb.ReplicaState_REPLICA_STATE_LOAD
	stateReady  = coordpb.ReplicaState_REPLICA_STATE_READY
	stateUnload = coordpb.ReplicaState_REPLICA_STATE_UNLOAD
)
