package experiment

import (
	"fmt"
	"time"

	"cowsliptiller/coord/config"
)

// Deployment is the size of one deployment.
type Deployment struct {
	Name       string
	Models     int
	Adapters   int
	Engines    int
	Entries    int
	LoadRate   float64
	LoadsFull  int
	OneWay     time.Duration // between failure domains
	Workspaces []float64     // shares of the whole rate
}

// deployments at today's sizes. Workspaces: five, a few of them large.
var deployments = []Deployment{
	{"vaalkop", 65, 75, 12, 4, 4, 4, 500 * time.Microsecond, []float64{0.4, 0.25, 0.2, 0.1, 0.05}},
	{"kyklos", 95, 110, 18, 4, 6, 4, 1500 * time.Microsecond, []float64{0.4, 0.25, 0.2, 0.1, 0.05}},
}

// scaled is the deployment at n times its size. The store grows with it: a fleet
// of ten times the targets behind today's store would measure the store alone.
func (d Deployment) scaled(n int) Deployment {
	d.Models *= n
	d.Adapters *= n
	d.Engines *= n
	d.LoadRate *= float64(n)
	d.LoadsFull *= n
	if n > 1 {
		d.Entries *= 3
	}
	return d
}

// Classes of call in the experiments.
const (
	classLookup = "lookup"  // a person waits
	classBrief  = "brief"   // answered fully, even if slowly
	classReport = "summary" // whole before a time
)

const (
	gib         = int64(1) << 30
	concurrency = 16
	// totalRate is the tokens a second that all workspaces together are owed, for
	// each engine: what it makes of short requests, 375 tokens in 1.19 s each.
	totalRate = concurrency * 375 / 1.19
	// burstSeconds is a workspace's burst in seconds of its rate.
	burstSeconds = 20
)

// sizes of models in turn, with load times from the store at full speed.
var sizes = []struct {
	bytes int64
	load  time.Duration
}{{14, 2000}, {8, 1200}, {26, 3500}, {16, 2200}, {4, 700}}

// configuration generates what every process would follow.
func (d Deployment) configuration() *config.Configuration {
	c := &config.Configuration{
		Revision:   1,
		Deployment: d.Name,
		Store:      config.StoreLimits{LoadsPerSecond: d.LoadRate, FullSpeedLoads: d.LoadsFull, AdapterLoads: 32, AdapterLoadLimit: 10 * time.Millisecond},
		Models:     map[string]config.ModelSpec{},
		Adapters:   map[string]config.AdapterSpec{},
		Targets:    map[string]config.TargetSpec{},
		Classes: map[string]config.ClassSpec{
			classLookup: {Name: classLookup, Urgency: config.UrgencyInteractive, Deadline: 8 * time.Second, Repeatable: true},
			classBrief:  {Name: classBrief, Urgency: config.UrgencyMustFinish, Deadline: 5 * time.Minute, Repeatable: true},
			classReport: {Name: classReport, Urgency: config.UrgencyByDeadline, Deadline: time.Minute, Repeatable: true},
		},
		Workspaces: map[string]config.WorkspaceSpec{},
		Domains:    []string{"a", "b", "c"},
	}
	for i := range d.Engines {
		name := fmt.Sprintf("t%04d", i)
		c.Targets[name] = config.TargetSpec{Name: name, Kind: config.KindEngine, FailureDomain: c.Domains[i%3],
			MemoryBytes: 80 * gib, KVCacheBytes: 24 * gib, Concurrency: concurrency}
	}
	for i := range d.Models {
		s := sizes[i%len(sizes)]
		m := config.ModelSpec{Name: modelName(i), Version: "1", Bytes: s.bytes * gib, LoadTime: s.load * time.Millisecond}
		if i%3 != 2 { // cached unevenly: two of three models, on two hosts each
			m.Cached = []string{fmt.Sprintf("t%04d", i%d.Engines), fmt.Sprintf("t%04d", (i*7+3)%d.Engines)}
		}
		c.Models[m.Name] = m
	}
	for i := range d.Adapters {
		name := fmt.Sprintf("a%05d", i)
		c.Adapters[name] = config.AdapterSpec{Name: name, Model: modelName(i % d.Models), Bytes: 40 << 20}
	}
	for i, share := range d.Workspaces {
		rate := int64(share * totalRate * float64(d.Engines))
		name := workspaceName(i)
		c.Workspaces[name] = config.WorkspaceSpec{Name: name, Rate: rate, Burst: burstSeconds * rate, Models: []string{"*"}}
	}
	return c
}

func modelName(i int) string { return fmt.Sprintf("m%04d", i) }

func workspaceName(i int) string { return fmt.Sprintf("w%d", i) }
