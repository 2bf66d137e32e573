package routing_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/routing"
)

// TestMain sets a fixed seed for rapid, so that test runs are reproducible. The flag
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	m.Run()
}

// TestInvariants applies random picks, replies, failures, refusals and views, and checks
// each pick against a model of the targets that may not be chosen.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "targets")
		v := fleet(n)
		r := newRouter(v)
		now := start
		leaving := map[string]time.Time{} // until when, by target
		denied := map[string]time.Time{}  // refused as fault.NotHere, until when
		inFlight := map[string]int{}
		target := rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf("t%04d", rapid.IntRange(0, n-1).Draw(t, "t"))
		})
		forbidden := func(name string, q routing.Request) bool {
			return slices.Contains(q.Exclude, name) || now.Before(leaving[name]) || now.Before(denied[name])
		}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				q := routing.Request{Name: "m", PrefixHash: rapid.Uint64Range(0, 3).Draw(t, "prefix"), NoProbe: rapid.Bool().Draw(t, "careful")}
				for range rapid.IntRange(0, n).Draw(t, "excluded") {
					q.Exclude = append(q.Exclude, target.Draw(t, "exclude"))
				}
				name, ok := r.Pick(q, now)
				if !ok {
					return
				}
				if forbidden(name, q) {
					t.Fatalf("Pick chose %s, which is excluded, leaving or refused the name", name)
				}
				r.Started(name, q, now)
				inFlight[name]++
			},
			"end": func(t *rapid.T) {
				name := target.Draw(t, "target")
				if inFlight[name] == 0 {
					return
				}
				inFlight[name]--
				outcome := rapid.SampledFrom([]routing.Outcome{routing.Served, routing.Failed, routing.Neutral}).Draw(t, "outcome")
				r.Finished(name, m, outcome, time.Duration(rapid.IntRange(0, 999).Draw(t, "ms"))*time.Millisecond, now)
			},
			"report": func(t *rapid.T) {
				r.Reported(target.Draw(t, "target"), routing.LoadReport{Running: rapid.IntRange(0, 20).Draw(t, "running"), Limit: rapid.IntRange(0, 8).Draw(t, "limit")}, now)
			},
			"refuse": func(t *rapid.T) {
				name := target.Draw(t, "target")
				if rapid.Bool().Draw(t, "leaving") {
					r.Refused(name, m, fault.Leaving, nil, now)
					leaving[name] = now.Add(10 * time.Second)
					return
				}
				r.Refused(name, m, fault.NotHere, []string{"other"}, now)
				denied[name] = now.Add(10 * time.Second)
			},
			"old view": func(*rapid.T) { r.SetView(v, now) },
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				fresh := routing.Request{Name: "m"}
				if name, ok := r.Pick(fresh, now); ok && forbidden(name, fresh) {
					t.Fatalf("Pick chose %s, which is leaving or refused the name", name)
				}
			},
		})
	})
}
