package config

import (
	"slices"
	"time"
)

// wildcard allows every model or service in a workspace's list.
const wildcard = "*"

// Configuration is the configuration that every process of a deployment applies. It is
// derived from a questionnaire alone, so that all processes derive the same one.
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
	// DefaultClass is the class of model calls that do not name one.
	DefaultClass string
}

// StoreLimits limits the load that the fleet puts on the weight store. The fields
// are those of Store.
type StoreLimits struct {
	LoadsPerSecond   float64
	FullSpeedLoads   int
	AdapterLoads     int
	AdapterLoadLimit time.Duration
}

// ModelSpec describes a model to placement and to the agents. Bytes is the size of
// its weights, Cached lists the targets whose host has the checkpoint on disk.
type ModelSpec struct {
	Name     string
	Version  string
	Bytes    int64
	LoadTime time.Duration
	Cached   []string
}

// AdapterSpec describes an adapter and names its base model.
type AdapterSpec struct {
	Name  string
	Model string
	Bytes int64
}

// ServiceSpec describes a plain service and its calls by path.
type ServiceSpec struct {
	Name  string
	Calls map[string]CallSpec
}

// CallSpec describes one call of a plain service: its class, and the tokens that each
// call charges to the workspace.
type CallSpec struct {
	Class  string
	Tokens int64
}

// TargetSpec describes a target: a model engine or a replica of a plain service.
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

// WeightBytes returns the memory available for weights, in bytes.
func (t TargetSpec) WeightBytes() int64 {
	return t.MemoryBytes - t.KVCacheBytes
}

// ClassSpec describes a class of call. Urgency is one of the Urgency constants.
type ClassSpec struct {
	Name       string
	Urgency    string
	Deadline   time.Duration
	Repeatable bool
}

// Interactive reports whether a user waits for the answer.
func (c ClassSpec) Interactive() bool {
	return c.Urgency == UrgencyInteractive
}

// WorkspaceSpec describes a workspace: its rate in tokens per second, its burst in
// tokens, and the models and services that it may use.
type WorkspaceSpec struct {
	Name     string
	Rate     int64
	Burst    int64
	Models   []string
	Services []string
}

// MayUseModel reports whether the workspace's list of models allows name, a model
// or an adapter.
func (w WorkspaceSpec) MayUseModel(name string) bool {
	return slices.Contains(w.Models, wildcard) || slices.Contains(w.Models, name)
}

// MayUseService reports whether the workspace may call a plain service.
func (w WorkspaceSpec) MayUseService(name string) bool {
	return slices.Contains(w.Services, wildcard) || slices.Contains(w.Services, name)
}

// Generate derives the configuration of a questionnaire that Parse has checked.
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

// ResolveModel resolves the name of a model or an adapter. For an adapter it returns its
// base model and the adapter. It reports false if there is no such name.
func (c *Configuration) ResolveModel(name string) (model, adapter string, ok bool) {
	if _, isModel := c.Models[name]; isModel {
		return name, "", true
	}
	if a, isAdapter := c.Adapters[name]; isAdapter {
		return a.Model, a.Name, true
	}
	return "", "", false
}
