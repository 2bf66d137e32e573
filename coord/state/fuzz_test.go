package state_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// Racing operators, resends, repeated calls, replica orders and hosts, in any
// order, with the state replaced by its own snapshot at any point.
func TestStateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"submit": o.submit, "claim": o.claim, "settle": o.settle, "decide": o.decide,
			"confirm": o.confirm, "key": o.key, "host": o.host, "strike": o.strike,
			"pass": o.pass, "restore": o.restore, "follow": o.follow, "": o.check,
		})
	})
}

// init fixes the seed, so that a run gives the same verdict each time; another is
// tried with -rapid.seed.
func init() {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
}
