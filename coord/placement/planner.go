package placement

import (
	"slices"
	"sort"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
)

// Planner decides which replicas to load and unload. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	store    storeScheduler
	models   map[string]*model
	targets  map[string]*target
	// sorted, so that decisions do not depend on map iteration order
	modelNames   []string
	targetNames  []string
	replicas     map[replicaKey]*replica
	failures     map[replicaKey]loadFailure
	largestFit   largestFit
	memoryPrice  float64
	configured   bool      // Configure was called
	configuredAt time.Time // time of the first Configure
}

// New returns a planner that makes no decisions before its first configuration.
func New(s Settings) *Planner {
	return &Planner{
		settings: s,
		models:   map[string]*model{},
		targets:  map[string]*target{},
		replicas: map[replicaKey]*replica{},
		failures: map[replicaKey]loadFailure{},
	}
}

// Configure applies a configuration. Replicas of models and on targets that it no longer has
// are unloaded; measurements of the others are kept.
func (p *Planner) Configure(c *config.Configuration, now time.Time) {
	if !p.configured {
		p.configured, p.configuredAt = true, now
	}
	p.largestFit.measured = false
	p.store.configure(c.Store, now)
	for _, m := range p.models {
		m.configured = false
	}
	for _, t := range p.targets {
		t.configured = false
	}
	for name, spec := range c.Models {
		m := p.modelFor(name)
		m.spec, m.configured = spec, true
		m.cached = map[string]bool{}
		for _, t := range spec.Cached {
			m.cached[t] = true
		}
	}
	for name, spec := range c.Targets {
		t := p.targetFor(name)
		t.spec, t.configured = spec, true
	}
	p.rebuildReplicaLists()
}

// SetTargets sets the status of all targets. A target that is not listed is not live.
func (p *Planner) SetTargets(list []TargetStatus, _ time.Time) {
	for _, t := range p.targets {
		t.live = false
	}
	for _, s := range list {
		t := p.targetFor(s.Name)
		t.live, t.leaving = s.Live, s.Leaving
	}
}

// ObserveReport records an agent's latest report.
func (p *Planner) ObserveReport(r Report, now time.Time) {
	t := p.targetFor(r.Target)
	t.running, t.queued, t.reportedAt = r.Running, r.Queued, now
	for _, m := range r.Models {
		loaded := p.replicas[replicaKey{m.Model, r.Target}]
		if loaded == nil {
			continue
		}
		loaded.running = m.Running
		if used := now.Add(-m.Idle); used.After(loaded.lastUsed) {
			loaded.lastUsed = used
		}
	}
}

// ObserveDemand records an entry host's latest report on each listed model. It replaces the
// host's previous report on these models; models that are not configured are ignored.
func (p *Planner) ObserveDemand(host string, list []Demand, now time.Time) {
	for _, d := range list {
		m := p.models[d.Model]
		if m == nil || !m.configured {
			continue
		}
		// Arrivals are at least the answered requests plus the increase of waiting ones.
		// Counting answers alone would never see requests for a model whose cold start
		// always takes longer than their deadline.
		arrived := float64(d.Served) + float64(d.Waiting-m.demandByHost[host].Waiting)
		m.arrivals.record(arrived, now)
		m.demandByHost[host] = hostDemand{d, now}
	}
}

// modelFor returns the named model, creating it if necessary.
func (p *Planner) modelFor(name string) *model {
	m := p.models[name]
	if m == nil {
		m = &model{spec: config.ModelSpec{Name: name}, demandByHost: map[string]hostDemand{}}
		p.models[name] = m
		p.modelNames = insertSorted(p.modelNames, name)
	}
	return m
}

// targetFor returns the named target, creating it if necessary.
func (p *Planner) targetFor(name string) *target {
	t := p.targets[name]
	if t == nil {
		t = &target{spec: config.TargetSpec{Name: name}}
		p.targets[name] = t
		p.targetNames = insertSorted(p.targetNames, name)
	}
	return t
}

func insertSorted(names []string, name string) []string {
	at, _ := slices.BinarySearch(names, name)
	return slices.Insert(names, at, name)
}

// rebuildReplicaLists recomputes the sorted replica lists of all models and targets, and the
// memory used on each target.
func (p *Planner) rebuildReplicaLists() {
	for _, m := range p.models {
		m.replicas = m.replicas[:0]
	}
	for _, t := range p.targets {
		t.replicas = t.replicas[:0]
		t.usedBytes = 0
	}
	for _, r := range p.replicas {
		if r.model.configured {
			r.bytes = max(r.bytes, r.model.spec.Bytes)
		}
		r.model.replicas = append(r.model.replicas, r)
		r.target.replicas = append(r.target.replicas, r)
		r.target.usedBytes += r.bytes
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

// forEachModel calls f for each model in order of name.
func (p *Planner) forEachModel(f func(*model)) {
	for _, name := range p.modelNames {
		f(p.models[name])
	}
}

const (
	stateLoad   = coordpb.ReplicaState_REPLICA_STATE_LOAD
	stateReady  = coordpb.ReplicaState_REPLICA_STATE_READY
	stateUnload = coordpb.ReplicaState_REPLICA_STATE_UNLOAD
)
