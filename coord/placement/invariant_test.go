package placement_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/placement"
)

// TestMain fixes rapid's seed, so that each run gives the same verdict. Give
// -rapid.seed for another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	m.Run()
}

// oracle checks each decision against the log alone: what it lists counts,
// whatever its state.
type oracle struct {
	w      *world
	starts []time.Time
}

func (o *oracle) check(t *rapid.T, list []placement.Decision) {
	decided := map[string]bool{}
	for _, d := range list {
		key := d.Model + "@" + d.Target
		if decided[key] {
			t.Fatalf("%s decided twice in one round", key)
		}
		decided[key] = true
		held, exists := o.w.replicas[key]
		switch {
		case d.Load && exists:
			t.Fatalf("load of %s, which is %v", key, held.State)
		case !d.Load && (!exists || held.State == coordpb.ReplicaState_REPLICA_STATE_UNLOAD):
			t.Fatalf("unload of %s, which is not there to unload", key)
		case d.Load:
			o.load(t, d)
		}
	}
}

// load checks one decision to load: standing, memory, and the store's rate.
func (o *oracle) load(t *rapid.T, d placement.Decision) {
	standing := o.w.standing[d.Target]
	if !standing.Live || standing.Leaving {
		t.Fatalf("load on %s, which is gone or leaves", d.Target)
	}
	o.starts = append(o.starts, o.w.now)
	per := int(o.w.config.Store.LoadsPerSecond)
	if n := len(o.starts); n > per && o.starts[n-1].Sub(o.starts[n-1-per]) < time.Second {
		t.Fatalf("%d loads within a second", per+1)
	}
}

func (o *oracle) memory(t *rapid.T) {
	used := map[string]int64{}
	for _, r := range o.w.replicas {
		used[r.Target] += o.w.config.Models[r.Model].Bytes
	}
	for target, bytes := range used {
		if bytes > o.w.config.Targets[target].WeightBytes() {
			t.Fatalf("%s: %d bytes decided", target, bytes)
		}
	}
}

// A fleet under random demand, in which loads end, fail and hang, targets come,
// go and fall silent, and rounds run before the log has committed the last one.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := fleet(rapid.IntRange(1, 12).Draw(t, "models"), rapid.IntRange(1, 5).Draw(t, "targets"))
		for name, m := range c.Models {
			m.Bytes = gib * int64(3+len(name)+int(name[3]-'0'))
			c.Models[name] = m
		}
		w := newWorld(c)
		o := &oracle{w: w}
		var pending []placement.Decision
		model := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("m%03d", rapid.IntRange(0, len(c.Models)-1).Draw(t, "m")) })
		target := rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf("t%04d", rapid.IntRange(0, len(c.Targets)-1).Draw(t, "t"))
		})
		t.Repeat(map[string]func(*rapid.T){
			"demand": func(t *rapid.T) {
				w.demand(rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "host"), model.Draw(t, "model"),
					rapid.IntRange(0, 3).Draw(t, "waiting"), time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline"))*time.Second)
			},
			"plan": func(t *rapid.T) {
				out := w.planner.Plan(w.now)
				o.check(t, out)
				pending = append(pending, out...)
			},
			"commit": func(t *rapid.T) {
				w.commit(pending)
				pending = nil
				o.memory(t)
			},
			"settle one": func(t *rapid.T) { settleOne(t, w) },
			"pass": func(t *rapid.T) {
				// Never so long that a proposal lapses before its commit.
				if len(pending) > 0 {
					w.commit(pending)
					pending = nil
					o.memory(t)
				}
				w.pass(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"standing": func(t *rapid.T) {
				s := w.standing[target.Draw(t, "target")]
				s.Live, s.Leaving = rapid.Bool().Draw(t, "live"), rapid.Bool().Draw(t, "leaving")
				w.setTargets()
			},
			"report": func(t *rapid.T) {
				w.planner.ObserveReport(placement.Report{Target: target.Draw(t, "target"), Running: rapid.IntRange(0, 9).Draw(t, "running"),
					Models: []placement.ModelReport{{Model: model.Draw(t, "model"), Running: rapid.IntRange(0, 9).Draw(t, "own")}}}, w.now)
			},
			"": func(t *rapid.T) {
				for name := range c.Models {
					if f := w.planner.Forecast(name, w.now); f.ReadyIn < 0 {
						t.Fatalf("%s: ready in %v", name, f.ReadyIn)
					}
				}
			},
		})
	})
}

// settleOne ends one load well or badly, or one unload.
func settleOne(t *rapid.T, w *world) {
	var keys []string
	for _, m := range sortedModels(w.config) {
		for i := range len(w.config.Targets) {
			if key := fmt.Sprintf("%s@t%04d", m, i); w.replicas[key] != nil {
				keys = append(keys, key)
			}
		}
	}
	if len(keys) == 0 {
		return
	}
	key := rapid.SampledFrom(keys).Draw(t, "replica")
	r := w.replicas[key]
	ready := r.State == coordpb.ReplicaState_REPLICA_STATE_LOAD && rapid.Bool().Draw(t, "loads well")
	switch {
	case ready:
		w.replicas[key] = &coordpb.Replica{Model: r.Model, Target: r.Target, Fencing: r.Fencing, State: coordpb.ReplicaState_REPLICA_STATE_READY}
	case r.State != coordpb.ReplicaState_REPLICA_STATE_READY:
		delete(w.replicas, key)
	}
	w.show()
}

func sortedModels(c *config.Configuration) []string {
	names := make([]string, 0, len(c.Models))
	for i := range len(c.Models) {
		names = append(names, fmt.Sprintf("m%03d", i))
	}
	return names
}
