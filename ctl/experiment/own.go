package experiment

import (
	"math/rand/v2"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/placement"
	"cowsliptiller/coord/routing"
)

// own is the real decision code.
func own() policy {
	return policy{name: "own", limiter: newOwnLimiter, room: newOwnRoom, chooser: newOwnChooser, planner: newOwnPlanner, queue: newOwnQueue}
}

// ownChooser is routing.Router.
type ownChooser struct {
	w *world
	r *routing.Router
	v routing.View
}

func newOwnChooser(w *world, entry int) chooser {
	domain := w.config.Domains[entry%len(w.config.Domains)]
	return &ownChooser{w: w, r: routing.New(domain, routing.DefaultSettings(), rand.NewPCG(w.rnd.Uint64(), uint64(entry)))}
}

func (c *ownChooser) view(v routing.View) {
	c.v = v
	c.r.SetView(v, c.w.time())
}

func (c *ownChooser) serves(model string) bool { return c.r.Serves(model) }

func (c *ownChooser) request(r *request) routing.Request {
	return routing.Request{Name: r.model, Adapter: r.adapter, PrefixHash: r.prefix, Exclude: r.excluded}
}

func (c *ownChooser) pick(r *request) (string, bool) {
	name, ok := c.r.Pick(c.request(r), c.w.time())
	if !ok {
		r.excluded = nil
	}
	return name, ok
}

func (c *ownChooser) started(r *request) { c.r.Started(r.target, c.request(r), c.w.time()) }

func (c *ownChooser) finished(r *request, o routing.Outcome, took time.Duration, load *routing.LoadReport) {
	// Reported first: the reply's count includes this request or not as the
	// target says, and Finished takes it off the host's own.
	if load != nil {
		c.r.Reported(r.target, *load, c.w.time())
	}
	c.r.Finished(r.target, c.request(r), o, took, c.w.time())
}

func (c *ownChooser) refused(r *request, target string, leaving bool, resident []string) {
	kind := fault.NotHere
	if leaving {
		kind = fault.Leaving
	}
	c.r.Refused(target, c.request(r), kind, resident, c.w.time())
}

// ownPlanner is placement.Planner.
type ownPlanner struct {
	w *world
	p *placement.Planner
}

func newOwnPlanner(w *world) planner {
	p := placement.New(placement.DefaultSettings())
	p.Configure(w.config, w.time())
	return &ownPlanner{w, p}
}

func (o *ownPlanner) targets(list []placement.TargetStatus) { o.p.SetTargets(list, o.w.time()) }

func (o *ownPlanner) replicas(list []*coordpb.Replica) { o.p.SetReplicas(list, o.w.time()) }

func (o *ownPlanner) report(p placement.Report) { o.p.ObserveReport(p, o.w.time()) }

func (o *ownPlanner) demand(entry int, list []placement.Demand) {
	o.p.ObserveDemand(string(rune('a'+entry)), list, o.w.time())
}

func (o *ownPlanner) plan() []placement.Decision { return o.p.Plan(o.w.time()) }

func (o *ownPlanner) forecast(model string) placement.Forecast {
	return o.p.Forecast(model, o.w.time())
}
