package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/routing"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
	"cowsliptiller/server/wire"
)

// routes puts one lock around the router and keeps it at the newest view.
type routes struct {
	now func() time.Time

	mu       sync.Mutex
	router   *routing.Router
	revision uint64
}

func newRoutes(cfg Config) *routes {
	source := rand.NewPCG(cfg.Rand.Uint64(), cfg.Rand.Uint64())
	domain := cfg.Caller.GetFailureDomain()
	return &routes{now: cfg.Now, router: routing.New(domain, routing.DefaultSettings(), source)}
}

// follow takes a view, unless it has it already.
func (r *routes) follow(snapshot *view.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if snapshot.Revision <= r.revision {
		return
	}
	r.revision = snapshot.Revision
	r.router.SetView(routingView(snapshot), r.now())
}

// pick returns the agent to ask, nil when none can serve the request now.
func (r *routes) pick(snapshot *view.Snapshot, q routing.Request) *coordpb.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	target, ok := r.router.Pick(q, r.now())
	if !ok {
		return nil
	}
	return snapshot.AgentByTarget[target]
}

func (r *routes) started(target string, q routing.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Started(target, q, r.now())
}

// finished tells how an attempt ended. What a refusal says of the target
// corrects the view at once.
func (r *routes) finished(target string, q routing.Request, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.router.Finished(target, q, outcomeOf(err), took, now)
	if err == nil {
		return
	}
	refused := reportOf(err)
	r.router.Refused(target, q, fault.From(err).Kind, refused.GetModels(), now)
	r.report(target, refused, now)
}

// reported takes the load that came with a reply.
func (r *routes) reported(target string, load *rpc.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report(target, load, r.now())
}

func (r *routes) report(target string, load *rpc.LoadReport, now time.Time) {
	if load == nil {
		return
	}
	r.router.Reported(target, routing.LoadReport{
		Running:     int(load.Running),
		Queued:      int(load.Queued),
		Limit:       int(load.Limit),
		ServiceTime: time.Duration(load.ServiceUs) * time.Microsecond,
	}, now)
}

// outcomeOf says whether the target is to blame: it, or the way to it, broke off
// or gave no answer. Refusals are answers.
func outcomeOf(err error) routing.Outcome {
	if err == nil {
		return routing.Served
	}
	switch fault.From(err).Kind {
	case fault.TargetFailed, fault.StreamBroken, fault.Unavailable, fault.Timeout:
		return routing.Failed
	}
	return routing.Neutral
}

// request describes a call to the router.
func routeOf(c *call, exclude []string) routing.Request {
	q := routing.Request{Name: destinationOf(c), Adapter: c.adapter, Exclude: exclude, NoProbe: !c.class.Repeatable}
	if c.model != "" && len(c.body) >= wire.PrefixHashBytes {
		q.PrefixHash = xxhash.Sum64(c.body[:wire.PrefixHashBytes])
	}
	return q
}

// destinationOf names what a call waits for: a model or a service.
func destinationOf(c *call) string {
	if c.service != "" {
		return routing.ServiceName(c.service)
	}
	return c.model
}

func routingView(snapshot *view.Snapshot) routing.View {
	v := routing.View{Targets: map[string]routing.TargetView{}, Serving: map[string][]routing.Replica{}}
	for name, spec := range snapshot.Configuration.Targets {
		agent := snapshot.AgentByTarget[name]
		if agent == nil {
			continue
		}
		v.Targets[name] = routing.TargetView{
			FailureDomain: spec.FailureDomain,
			Concurrency:   spec.Concurrency,
			Incarnation:   agent.Incarnation,
			Leaving:       snapshot.TakesNoWork(agent),
		}
		if spec.Kind == config.KindService {
			key := routing.ServiceName(spec.Service)
			v.Serving[key] = append(v.Serving[key], routing.Replica{Target: name})
		}
	}
	for model, replicas := range snapshot.Replicas {
		v.Serving[model] = readyReplicas(replicas)
	}
	return v
}

func readyReplicas(replicas []*coordpb.Replica) []routing.Replica {
	var ready []routing.Replica
	for _, r := range replicas {
		if r.State == coordpb.ReplicaState_REPLICA_STATE_READY {
			ready = append(ready, routing.Replica{Target: r.Target, Version: r.Fencing})
		}
	}
	return ready
}

// serving reports whether a view shows a target that serves a destination and
// takes new work.
func serving(v routing.View, destination string) bool {
	return slices.ContainsFunc(v.Serving[destination], func(replica routing.Replica) bool {
		target, known := v.Targets[replica.Target]
		return known && !target.Leaving
	})
}
