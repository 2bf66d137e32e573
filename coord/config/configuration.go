package config

import (
	"slices"
	"time"
)

// all stands for every model or service in a workspace's list.
const all = "*"

// Configuration is what every process follows. It is derived from a
// questionnaire alone, so that each process derives the same one.
type Configuration struct {
	Revision   uint64
	Deployment string
	Store      StoreLimits
	Models     map[string]ModelSpec
	Adapters   map[string]AdapterSpec
	Services   map[string]ServiceSpec
	Targets    map[string]TargetSpec
	Classes    map[string]ClassSpec
	Workspaces map[string]WorkspaceSpec
	Domains    []string
	// DefaultClass is taken for model calls that name none.
	DefaultClass string
}

// StoreLimits bounds what the fleet asks of the weight store.
type StoreLimits struct {
	LoadsPerSecond   float64
	FullSpeedLoads   int
	AdapterLoads     int
	AdapterLoadLimit time.Duration
}

// ModelSpec is a model as placement and agents see it.
type ModelSpec struct {
	Name     string
	Version  string
	Bytes    int64
	LoadTime time.Duration
	Cached   []string
}

// AdapterSpec is an adapter.
type AdapterSpec struct {
	Name  string
	Model string
	Bytes int64
}

// ServiceSpec is a plain service and its calls by path.
type ServiceSpec struct {
	Name  string
	Calls map[string]CallSpec
}

// CallSpec is one call of a plain service.
type CallSpec struct {
	Class  string
	Tokens int64
}

// TargetSpec is a target.
type TargetSpec struct {
	Name          string
	Kind          string
	Service       string
	FailureDomain string
	MemoryBytes   int64
	KVCacheBytes  int64
	Concurrency   int
	ChecksFencing bool
}

// WeightBytes is the memory left for weights.
func (t TargetSpec) WeightBytes() int64 {
	return t.MemoryBytes - t.KVCacheBytes
}

// ClassSpec is a class of call.
type ClassSpec struct {
	Name       string
	Urgency    string
	Deadline   time.Duration
	Repeatable bool
}

// Interactive reports whether a person waits for the answer.
func (c ClassSpec) Interactive() bool {
	return c.Urgency == UrgencyInteractive
}

// WorkspaceSpec is a workspace's rate and what it may use.
type WorkspaceSpec struct {
	Name     string
	Rate     int64
	Burst    int64
	Models   []string
	Services []string
}

// MayUseModel reports whether the workspace may use a model, or an adapter on it.
func (w WorkspaceSpec) MayUseModel(name string) bool {
	return slices.Contains(w.Models, all) || slices.Contains(w.Models, name)
}

// MayUseService reports whether the workspace may call a plain service.
func (w WorkspaceSpec) MayUseService(name string) bool {
	return slices.Contains(w.Services, all) || slices.Contains(w.Services, name)
}

// Generate derives the configuration of a checked questionnaire.
func Generate(q *Questionnaire, revision uint64) *Configuration {
	c := &Configuration{
		Revision:   revision,
		Deployment: q.Deployment,
		Store: StoreLimits{
			LoadsPerSecond:   q.Store.LoadsPerSecond,
			FullSpeedLoads:   q.Store.FullSpeedLoads,
			AdapterLoads:     q.Store.AdapterLoads,
			AdapterLoadLimit: time.Duration(q.Store.AdapterLoadLimit),
		},
		Models:     make(map[string]ModelSpec, len(q.Models)),
		Adapters:   make(map[string]AdapterSpec, len(q.Adapters)),
		Services:   make(map[string]ServiceSpec, len(q.Services)),
		Targets:    make(map[string]TargetSpec, len(q.Targets)),
		Classes:    make(map[string]ClassSpec, len(q.Classes)),
		Workspaces: make(map[string]WorkspaceSpec, len(q.Workspaces)),
		Domains:    slices.Clone(q.FailureDomains),
	}
	for _, m := range q.Models {
		c.Models[m.Name] = ModelSpec{m.Name, m.Version, int64(m.Size), time.Duration(m.LoadTime), slices.Clone(m.Cached)}
	}
	for _, a := range q.Adapters {
		c.Adapters[a.Name] = AdapterSpec{a.Name, a.Model, int64(a.Size)}
	}
	for _, s := range q.Services {
		c.Services[s.Name] = generateService(s)
	}
	for _, t := range q.Targets {
		c.Targets[t.Name] = TargetSpec{t.Name, t.Kind, t.Service, t.FailureDomain,
			int64(t.Memory), int64(t.KVCache), t.Concurrency, t.ChecksFencing}
	}
	for _, k := range q.Classes {
		c.Classes[k.Name] = ClassSpec{k.Name, k.Urgency, time.Duration(k.Deadline), k.Repeatable}
		if k.Default {
			c.DefaultClass = k.Name
		}
	}
	for _, w := range q.Workspaces {
		c.Workspaces[w.Name] = WorkspaceSpec{w.Name, w.Rate, w.Burst, slices.Clone(w.Models), slices.Clone(w.Services)}
	}
	return c
}

func generateService(s Service) ServiceSpec {
	spec := ServiceSpec{Name: s.Name, Calls: make(map[string]CallSpec, len(s.Calls))}
	for _, call := range s.Calls {
		spec.Calls[call.Path] = CallSpec{call.Class, call.Tokens}
	}
	return spec
}

// BaseOf returns the model that serves a name: the model itself, or an
// adapter's model together with the adapter.
func (c *Configuration) BaseOf(name string) (model, adapter string, ok bool) {
	if _, isModel := c.Models[name]; isModel {
		return name, "", true
	}
	if a, isAdapter := c.Adapters[name]; isAdapter {
		return a.Model, a.Name, true
	}
	return "", "", false
}
