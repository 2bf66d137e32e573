package experiment

import (
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/placement"
	"cowsliptiller/coord/routing"
	"maps"
	"slices"
)

// control is the leader with its log.
type control struct {
	w        *world
	planner  planner
	replicas map[string]*coordpb.Replica // by model@target
	ready    map[string]int              // ready replicas on targets that live
	fencing  uint64
	changed  bool
	lost     map[string]bool
	leaving  map[string]bool
}

func newControl(w *world, p planner) *control {
	c := &control{w: w, planner: p, replicas: map[string]*coordpb.Replica{}, ready: map[string]int{}, lost: map[string]bool{}, leaving: map[string]bool{}}
	c.planner.targets(c.list())
	return c
}

func (c *control) list() []placement.TargetStatus {
	var list []placement.TargetStatus
	for _, name := range c.w.names {
		list = append(list, placement.TargetStatus{Name: name, Live: !c.lost[name], Leaving: c.leaving[name]})
	}
	return list
}

// standing takes the targets' lives as they are now.
func (c *control) standing() {
	for _, name := range c.w.names {
		c.lost[name] = c.w.targets[name].dead
		c.leaving[name] = c.w.targets[name].leaving
	}
	c.planner.targets(c.list())
	c.publish()
}

func (c *control) serving(model string) bool { return c.ready[model] > 0 }

func (c *control) demand(e *entry, list []placement.Demand) {
	c.planner.demand(e.number, list)
	for _, d := range list {
		if d.Waiting > 0 && !c.serving(d.Model) {
			e.forecast(d.Model, c.planner.forecast(d.Model))
		}
	}
}

func (c *control) tick() {
	for _, name := range c.w.names {
		if t := c.w.targets[name]; !t.dead {
			c.planner.report(t.report())
		}
	}
	decisions := c.planner.plan()
	if len(decisions) > 0 {
		c.w.after(commit, func() { c.commit(decisions) })
	}
	if c.changed {
		c.changed = false
		c.planner.replicas(c.all())
		c.publish()
	}
}

func (c *control) commit(decisions []placement.Decision) {
	for _, d := range decisions {
		c.fencing++
		state := coordpb.ReplicaState_REPLICA_STATE_LOAD
		if !d.Load {
			state = coordpb.ReplicaState_REPLICA_STATE_UNLOAD
			c.w.measure.unloads++
		} else {
			c.w.measure.loads++
		}
		c.put(&coordpb.Replica{Model: d.Model, Target: d.Target, Fencing: c.fencing, State: state})
		c.w.after(hop, func() { c.w.targets[d.Target].order(d) })
	}
	c.planner.replicas(c.all())
}

func (c *control) put(r *coordpb.Replica) {
	c.replicas[r.Model+"@"+r.Target] = r
	c.changed = true
	c.count()
}

func (c *control) count() {
	clear(c.ready)
	for _, r := range c.replicas {
		if r.State == coordpb.ReplicaState_REPLICA_STATE_READY && !c.w.targets[r.Target].dead {
			c.ready[r.Model]++
		}
	}
}

// confirm takes an agent's word on a replica.
func (c *control) confirm(model, target string, loaded bool) {
	c.w.after(hop+commit, func() {
		old := c.replicas[model+"@"+target]
		switch {
		case old == nil:
			return
		case !loaded:
			delete(c.replicas, model+"@"+target)
			c.changed = true
			c.count()
		case old.State == coordpb.ReplicaState_REPLICA_STATE_LOAD:
			c.put(&coordpb.Replica{Model: model, Target: target, Fencing: old.Fencing, State: coordpb.ReplicaState_REPLICA_STATE_READY})
		}
	})
}

func (c *control) all() []*coordpb.Replica {
	var list []*coordpb.Replica
	for _, key := range slices.Sorted(maps.Keys(c.replicas)) {
		list = append(list, c.replicas[key])
	}
	return list
}

// publish sends the view to the entry hosts, which see it late.
func (c *control) publish() {
	v := routing.View{Targets: map[string]routing.TargetView{}, Serving: map[string][]routing.Replica{}}
	for _, name := range c.w.names {
		if !c.lost[name] {
			spec := c.w.config.Targets[name]
			v.Targets[name] = routing.TargetView{FailureDomain: spec.FailureDomain, Concurrency: spec.Concurrency, Leaving: c.leaving[name]}
		}
	}
	for _, r := range c.all() {
		if r.State == coordpb.ReplicaState_REPLICA_STATE_READY && !c.lost[r.Target] {
			v.Serving[r.Model] = append(v.Serving[r.Model], routing.Replica{Target: r.Target, Version: r.Fencing})
		}
	}
	c.w.after(viewLag, func() {
		for _, e := range c.w.entries {
			e.view(v)
		}
	})
}
