package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowsliptiller/coord/routing"
)

const service = "service/s"

// viewOf returns a view of n targets of one service that started at startedUnixMs.
func viewOf(n int, startedUnixMs int64) routing.View {
	v := routing.View{Targets: map[string]routing.TargetView{}, Serving: map[string][]routing.Replica{}}
	for i := range n {
		id := fmt.Sprint("t", i)
		v.Targets[id] = routing.TargetView{Concurrency: 4, StartedUnixMs: startedUnixMs}
		v.Serving[service] = append(v.Serving[service], routing.Replica{Target: id})
	}
	return v
}

func routerOf(v routing.View, now time.Time) *routing.Router {
	r := routing.New("d", routing.DefaultSettings(), rand.NewPCG(1, 2))
	r.SetView(v, now)
	return r
}

// Guards against requests to targets that rest, and against refusing requests that another
// target takes: of six targets five ask for 3 s of rest again and again for 20 s.
func TestRestingTargetsGetNoRequests(t *testing.T) {
	begin := time.Unix(1000, 0)
	v := viewOf(6, 7)
	r := routerOf(v, begin)
	restUntil := map[string]time.Time{}
	arrived := 0
	for now := begin; now.Sub(begin) < 20*time.Second; now = now.Add(20 * time.Millisecond) {
		if now.Sub(begin)%(200*time.Millisecond) == 0 {
			r.SetView(v, now)
		}
		id, ok := r.Pick(routing.Request{Name: service}, now)
		if !ok {
			t.Fatalf("no target at %v, t0 never rests", now.Sub(begin))
		}
		if now.Before(restUntil[id]) {
			t.Fatalf("%s got a request at %v, it rests until %v", id, now.Sub(begin), restUntil[id].Sub(begin))
		}
		arrived++
		if id != "t0" {
			restUntil[id] = now.Add(3 * time.Second)
			r.Rested(id, 7, 3*time.Second, now)
		}
	}
	if arrived != 1000 {
		t.Errorf("%d of 1000 requests were sent", arrived)
	}
}

// Guards against an untrue time to return while all targets rest.
func TestRestEndsWithTheFirstTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	r := routerOf(viewOf(3, 7), now)
	q := routing.Request{Name: service, Exclude: []string{"t1"}}
	r.Rested("t0", 7, 5*time.Second, now)
	r.Rested("t1", 7, 3*time.Second, now)
	if got := r.RestEnds(q, now); got != 0 {
		t.Errorf("t2 takes requests, but the rest ends in %v", got)
	}
	r.Rested("t2", 7, 4*time.Second, now)
	r.Rested("t1", 7, time.Second, now) // shorter than what it asked for before
	if got := r.RestEnds(q, now); got != 3*time.Second {
		t.Errorf("the rest ends in %v, want 3 s", got)
	}
	if id, ok := r.Pick(routing.Request{Name: service}, now.Add(3*time.Second)); !ok || id != "t1" {
		t.Errorf("picked %q %v after t1's rest", id, ok)
	}
}

// Guards against a rest that outlasts the target that asked for it, and one that is forgotten
// because the target was missing from the table for a moment.
func TestRestBelongsToALifetime(t *testing.T) {
	now := time.Unix(1000, 0)
	r := routerOf(viewOf(1, 7), now)
	r.Rested("t0", 7, 5*time.Second, now)
	r.SetView(routing.View{}, now)
	r.SetView(viewOf(1, 7), now)
	if r.Resting("t0", now) != 5*time.Second {
		t.Error("the rest was forgotten")
	}
	r.SetView(viewOf(1, 8), now)
	if r.Resting("t0", now) != 0 {
		t.Error("the rest of an earlier start holds")
	}
}

// Guards against requests to a target that has said that it leaves, while the view shows it as
// ready or lacks it for a moment.
func TestLeavingTargetsGetNoRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	r := routerOf(viewOf(2, 7), now)
	if !r.SaidLeaving("t0", 7, now) || r.SaidLeaving("t0", 7, now) {
		t.Error("only the first answer is new")
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r.SetView(routing.View{}, now)
		r.SetView(viewOf(2, 7), now)
		if id, ok := r.Pick(routing.Request{Name: service}, now); !ok || id != "t1" {
			t.Fatalf("picked %q %v, t0 leaves", id, ok)
		}
	}
	r.SetView(viewOf(1, 8), now)
	if id, ok := r.Pick(routing.Request{Name: service}, now); !ok || id != "t0" {
		t.Errorf("picked %q %v, t0 has started anew", id, ok)
	}
}
