package residency

import (
	"slices"
	"time"
)

// Load pattern: demand moves to a model that no target holds, and its callers wait for less
// time than an unload and a load from disk take.
// Without it: each of them is refused with a time to retry, nobody waits, the model is not
// loaded, and retries are refused like first calls.
// Rule: a refusal with a time to retry counts as demand until then, at the one target that
// was asked to expect the retry.

const (
	// retryGrace is how long after its time a retry is still expected.
	retryGrace = time.Second
	// storeRetries is how many retries are expected before a model is loaded for them from
	// the weight store, which serves few loads at a time.
	storeRetries = 3
	// maxRetries bounds the retries that are remembered for one model.
	maxRetries = 64
)

// retry is a caller that was told when to retry.
type retry struct {
	worth float64
	until time.Time
}

// expectRetry notes a refused caller. It reports false where the model will not be loaded for
// its retry.
func (k *Keeper) expectRetry(w Want, ready time.Duration, now time.Time) bool {
	if len(k.retries[w.Model]) < maxRetries {
		k.retries[w.Model] = append(k.retries[w.Model], retry{w.Worth, now.Add(ready + retryGrace)})
	}
	return k.loadsForRetries(w.Model)
}

// loadsForRetries reports whether the retries expected for a model are reason to load it.
func (k *Keeper) loadsForRetries(model string) bool {
	least := 1
	if k.fromStore(model) {
		least = storeRetries
	}
	return len(k.retries[model]) >= least
}

// dropRetries forgets the retries for models that are held, and those whose time is over.
func (k *Keeper) dropRetries(now time.Time) {
	for model, list := range k.retries {
		list = slices.DeleteFunc(list, func(r retry) bool { return now.After(r.until) })
		k.retries[model] = list
		if _, held := k.report.Models[model]; held || len(list) == 0 {
			delete(k.retries, model)
		}
	}
}

// retryWorth is the worth of the retries for which a model is to be loaded.
func (k *Keeper) retryWorth(model string) float64 {
	if !k.loadsForRetries(model) {
		return 0
	}
	sum := 0.0
	for _, r := range k.retries[model] {
		sum += r.worth
	}
	return sum
}
