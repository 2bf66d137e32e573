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

// TestMain sets a fixed rapid seed unless -rapid.seed gives another one, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	m.Run()
}

// checker checks decisions against the replicas in the log only. Each listed replica counts,
// whatever its state.
type checker struct {
	h      *harness
	starts []time.Time
}

func (c *checker) checkDecisions(t *rapid.T, list []placement.Decision) {
	decided := map[string]bool{}
	for _, d := range list {
		key := d.Model + "@" + d.Target
		if decided[key] {
			t.Fatalf("two decisions on %s in one round", key)
		}
		decided[key] = true
		current, exists := c.h.replicas[key]
		switch {
		case d.Load && exists:
			t.Fatalf("load of %s, which exists in state %v", key, current.State)
		case !d.Load && (!exists || current.State == coordpb.ReplicaState_REPLICA_STATE_UNLOAD):
			t.Fatalf("unload of %s, which does not exist or is already unloading", key)
		case d.Load:
			c.checkLoad(t, d)
		}
	}
}

// checkLoad checks the target's status and the store's rate limit for a load.
func (c *checker) checkLoad(t *rapid.T, d placement.Decision) {
	status := c.h.status[d.Target]
	if !status.Live || status.Leaving {
		t.Fatalf("load on %s, which is not live or is leaving", d.Target)
	}
	c.starts = append(c.starts, c.h.now)
	per := int(c.h.config.Store.LoadsPerSecond)
	if n := len(c.starts); n > per && c.starts[n-1].Sub(c.starts[n-1-per]) < time.Second {
		t.Fatalf("%d loads started within a second", per+1)
	}
}

func (c *checker) checkMemory(t *rapid.T) {
	used := map[string]int64{}
	for _, r := range c.h.replicas {
		used[r.Target] += c.h.config.Models[r.Model].Bytes
	}
	for target, bytes := range used {
		if bytes > c.h.config.Targets[target].WeightBytes() {
			t.Fatalf("%s: replicas of %d bytes exceed its memory for weights", target, bytes)
		}
	}
}

// TestInvariants checks the planner's decisions under random demand: loads succeed, fail and hang,
// targets join, leave and stop responding, and rounds run before the previous one is committed.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newConfig(rapid.IntRange(1, 12).Draw(t, "models"), rapid.IntRange(1, 5).Draw(t, "targets"))
		for name, m := range c.Models {
			m.Bytes = gib * int64(3+len(name)+int(name[3]-'0'))
			c.Models[name] = m
		}
		h := newHarness(c)
		check := &checker{h: h}
		var pending []placement.Decision
		model := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("m%03d", rapid.IntRange(0, len(c.Models)-1).Draw(t, "m")) })
		target := rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf("t%04d", rapid.IntRange(0, len(c.Targets)-1).Draw(t, "t"))
		})
		t.Repeat(map[string]func(*rapid.T){
			"demand": func(t *rapid.T) {
				h.demand(rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "host"), model.Draw(t, "model"),
					rapid.IntRange(0, 3).Draw(t, "waiting"), time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline"))*time.Second)
			},
			"plan": func(t *rapid.T) {
				out := h.planner.Plan(h.now)
				check.checkDecisions(t, out)
				pending = append(pending, out...)
			},
			"commit": func(t *rapid.T) {
				h.commit(pending)
				pending = nil
				check.checkMemory(t)
			},
			"settle one": func(t *rapid.T) { finishTransition(t, h) },
			"elapse": func(t *rapid.T) {
				// Commit first, so that no proposal expires before its commit.
				if len(pending) > 0 {
					h.commit(pending)
					pending = nil
					check.checkMemory(t)
				}
				h.advance(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"target status": func(t *rapid.T) {
				s := h.status[target.Draw(t, "target")]
				s.Live, s.Leaving = rapid.Bool().Draw(t, "live"), rapid.Bool().Draw(t, "leaving")
				h.updateTargets()
			},
			"report": func(t *rapid.T) {
				h.planner.ObserveReport(placement.Report{Target: target.Draw(t, "target"), Running: rapid.IntRange(0, 9).Draw(t, "running"),
					Models: []placement.ModelReport{{Model: model.Draw(t, "model"), Running: rapid.IntRange(0, 9).Draw(t, "model running")}}}, h.now)
			},
			"": func(t *rapid.T) {
				for name := range c.Models {
					if f := h.planner.Forecast(name, h.now); f.ReadyIn < 0 {
						t.Fatalf("%s: forecast of a negative time to ready: %v", name, f.ReadyIn)
					}
				}
			},
		})
	})
}

// finishTransition completes one random load, as a success or a failure, or one unload.
func finishTransition(t *rapid.T, h *harness) {
	var keys []string
	for _, m := range sortedModels(h.config) {
		for i := range len(h.config.Targets) {
			if key := fmt.Sprintf("%s@t%04d", m, i); h.replicas[key] != nil {
				keys = append(keys, key)
			}
		}
	}
	if len(keys) == 0 {
		return
	}
	key := rapid.SampledFrom(keys).Draw(t, "replica")
	r := h.replicas[key]
	ready := r.State == coordpb.ReplicaState_REPLICA_STATE_LOAD && rapid.Bool().Draw(t, "load succeeds")
	switch {
	case ready:
		h.replicas[key] = &coordpb.Replica{Model: r.Model, Target: r.Target, Fencing: r.Fencing, State: coordpb.ReplicaState_REPLICA_STATE_READY}
	case r.State != coordpb.ReplicaState_REPLICA_STATE_READY:
		delete(h.replicas, key)
	}
	h.updateReplicas()
}

func sortedModels(c *config.Configuration) []string {
	names := make([]string, 0, len(c.Models))
	for i := range len(c.Models) {
		names = append(names, fmt.Sprintf("m%03d", i))
	}
	return names
}
