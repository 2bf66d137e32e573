package workspace_test

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cowsliptiller/coord/workspace"
)

// picker returns a number from lo to hi, drawn by rapid or by a seeded random source.
type picker func(lo, hi int) int

// operation is one event in the fleet. In the long runs it is chosen with a probability in
// proportion to its weight.
type operation struct {
	name   string
	weight int
	run    func(f *fleet, pick picker)
}

var operations = []operation{
	{"advance", 6, func(f *fleet, pick picker) { f.advance(time.Duration(pick(1, 150)) * time.Millisecond) }},
	{"freeze", 1, func(f *fleet, pick picker) { f.now = f.now.Add(time.Duration(pick(500, 5000)) * time.Millisecond) }},
	{"charge", 6, func(f *fleet, pick picker) {
		_, _ = f.charge(pick(0, len(f.holders)-1), int64(pick(1, 1+int(f.oracle.limit.Burst)/6)))
	}},
	// Charges the whole level of the oracle, so that any excess token shows up as an overrun.
	{"charge all", 3, func(f *fleet, pick picker) {
		i := pick(0, len(f.holders)-1)
		if level, _ := f.oracle.replay(f.now); level >= 1 {
			_, _ = f.charge(i, int64(level))
			f.exchange(i)
		}
	}},
	{"charge what is held", 2, func(f *fleet, _ picker) {
		for i := range f.holders {
			f.chargeUntilQueued(i)
		}
	}},
	{"refund", 4, func(f *fleet, pick picker) {
		if n := len(f.oracle.charges); n > 0 {
			f.refund(pick(max(0, n-12), n-1), pick)
		}
	}},
	{"exchange", 6, func(f *fleet, pick picker) { f.exchange(pick(0, len(f.holders)-1)) }},
	{"exchange all", 2, func(f *fleet, _ picker) {
		for i := range f.holders {
			f.exchange(i)
		}
	}},
	{"poll", 3, func(f *fleet, pick picker) {
		i := pick(0, len(f.holders)-1)
		if d := f.holders[i].Poll(f.clock(i)); d != nil {
			f.toOwner = append(f.toOwner, pendingDraw{i, f.keys[i], pick(max(0, len(f.owners)-2), len(f.owners)-1), d})
		}
	}},
	{"deliver to owner", 3, func(f *fleet, pick picker) {
		if n := len(f.toOwner); n > 0 {
			k := pick(max(0, n-6), n-1)
			p := f.toOwner[k]
			if pick(0, 3) > 0 {
				f.toOwner = slices.Delete(f.toOwner, k, k+1)
			}
			f.deliver(p)
		}
	}},
	{"deliver to host", 3, func(f *fleet, pick picker) {
		if n := len(f.toHost); n > 0 {
			a := f.toHost[pick(max(0, n-6), n-1)]
			if a.key == f.keys[a.host] {
				f.handleOutcomes(a.host, f.holders[a.host].Reply(a.reply, f.clock(a.host)))
			}
		}
	}},
	{"fail", 1, func(f *fleet, pick picker) {
		if n := len(f.toOwner); n > 0 {
			p := f.toOwner[pick(max(0, n-6), n-1)]
			if p.key == f.keys[p.host] {
				f.holders[p.host].DrawFailed(p.draw.Sequence, f.clock(p.host))
			}
		}
	}},
	{"extend lease", 4, func(f *fleet, _ picker) {
		if f.now.Before(f.lease) {
			f.extend()
		}
	}},
	{"take over", 1, func(f *fleet, pick picker) {
		f.takeOver()
		if pick(0, 1) == 1 {
			for _, h := range f.holders {
				h.OwnerChanged(f.owner().Epoch())
			}
		}
	}},
	{"restart host", 1, func(f *fleet, pick picker) {
		if pick(0, 4) == 0 {
			f.startHost(pick(0, len(f.holders)-1))
		}
	}},
	// Only the newest incarnations stay known, as in the host table of the control plane.
	{"restart all", 1, func(f *fleet, pick picker) {
		if pick(0, 4) == 0 {
			for i := range f.holders {
				f.startHost(i)
			}
			f.incarnations = slices.Clone(f.keys)
		}
	}},
}

func randomFleet(pick picker) *fleet {
	rate := int64(pick(20, 500))
	limit := workspace.Limit{Rate: rate, Burst: max(20, rate*int64(pick(250, 6000))/1000)}
	f := newFleet(pick(1, 3), limit)
	for i := range f.clockRates {
		f.clockRates[i] = 1 + float64(pick(-10, 10))/1000
	}
	return f
}

// Invariant: no workspace exceeds its rate and burst over all hosts together. The charges of the
// fleet fit one token bucket with that rate and burst, also if messages are lost, delayed or
// duplicated, if processes freeze or restart, and if the owner changes.
func TestChargesNeverExceedRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, "n") }
		f := randomFleet(pick)
		actions := map[string]func(*rapid.T){"": func(t *rapid.T) {
			if over := f.oracle.overrun(); over > tolerance {
				t.Fatalf("%.3f tokens over %+v", over, f.oracle.limit)
			}
		}}
		for _, s := range operations {
			actions[s.name] = func(*rapid.T) { s.run(f, pick) }
		}
		t.Repeat(actions)
	})
}

// Checks the same invariant in long runs, which reach states that need many operations in a row.
func TestChargesNeverExceedRateAndBurstInLongRuns(t *testing.T) {
	total := 0
	for _, s := range operations {
		total += s.weight
	}
	for seed := range int64(300) {
		r := rand.New(rand.NewSource(seed))
		pick := func(lo, hi int) int { return lo + r.Intn(hi-lo+1) }
		f := randomFleet(pick)
		for range 500 {
			n := r.Intn(total)
			k := 0
			for ; n >= operations[k].weight; k++ {
				n -= operations[k].weight
			}
			operations[k].run(f, pick)
		}
		if over := f.oracle.overrun(); over > tolerance {
			t.Fatalf("seed %d: %.3f tokens over %+v", seed, over, f.oracle.limit)
		}
	}
}
