package experiment

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// boundSeeds is how many seeds the bound is taken over.
const boundSeeds = 10

// printBound writes, for each deployment and each scenario with a burst, the least
// cold starts that any policy could reach on the experiment's arrivals.
func printBound(out io.Writer) {
	for _, d := range deployments {
		for _, s := range scenarios {
			if s.Burst > 0 {
				fmt.Fprintln(out, boundOf(d, s))
			}
		}
	}
}

func boundOf(d Deployment, s Scenario) string {
	var waits []float64
	work := 0.0
	for seed := uint64(1); seed <= boundSeeds; seed++ {
		w, fromStore := leastCold(d, s, seed)
		waits = append(waits, w...)
		work = max(work, fromStore.Seconds()/float64(d.LoadsFull))
	}
	slices.Sort(waits)
	return fmt.Sprintf("%s %s: %d unavoidable cold starts, p50 %.2f p95 %.2f p99 %.2f s; the burst's loads from the store: at most %.2f s on all slots",
		d.Name, s.Name, len(waits), quantile(waits, 0.5), quantile(waits, 0.95), quantile(waits, 0.99), work)
}

// leastCold are the waits, in seconds, of the requests that come before their model's
// first load could be over, if it began with the model's first request, alone on the
// store, on a host with the checkpoint where there is one, and nothing were ever
// unloaded. It also returns the time of the loads from the store that the burst needs.
func leastCold(d Deployment, s Scenario, seed uint64) ([]float64, time.Duration) {
	c := d.configuration()
	ready := map[string]time.Duration{}
	var waits []float64
	var work time.Duration
	for _, r := range arrivals(d, s, seed) {
		at, known := ready[r.model]
		if !known {
			spec := c.Models[r.model]
			load := spec.LoadTime
			if len(spec.Cached) > 0 {
				load = time.Duration(localShare * float64(load))
			} else if r.at >= s.BurstAt && r.at < s.BurstAt+500*time.Millisecond {
				work += load
			}
			at = storeEnd(s, r.at, load, len(spec.Cached) == 0) + 4*hop + 2*commit + viewLag
			ready[r.model] = at
		}
		if r.at < at {
			waits = append(waits, min(at-r.at, c.Classes[r.class].Deadline).Seconds())
		}
	}
	return waits, work
}

// storeEnd is when a load that begins at start is over, at the store's speed then.
func storeEnd(s Scenario, start, load time.Duration, fromStore bool) time.Duration {
	for _, e := range s.Events {
		if !fromStore || e.kind != slowStore || start < e.at || start >= e.until {
			continue
		}
		slow := time.Duration(float64(load) * e.factor)
		if start+slow <= e.until {
			return start + slow
		}
		return e.until + load - time.Duration(float64(e.until-start)/e.factor)
	}
	return start + load
}
