package state_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// TestStateAgainstOracle applies random sequences of submissions, claims, replica
// decisions, keys, hosts, strikes, crashes and resends, and replaces the state by its own
// snapshot at random points.
func TestStateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"submit": o.submit, "claim": o.claim, "settle": o.settle, "decide": o.decide,
			"confirm": o.confirm, "key": o.key, "host": o.host, "strike": o.strike, "crash": o.crash,
			"pass": o.advanceTime, "restore": o.restore, "follow": o.checkFollower, "": o.checkInvariants,
		})
	})
}

// init fixes the seed, so that each run has the same result. Set another seed with
// -rapid.seed.
func init() {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
}
