package residency

import (
	"slices"
	"time"
)

// Load pattern: demand moves to a model that no target holds, and its callers wait for less
// time than an unload and a load from disk take.
// Without it: each caller is refused with a retry time, no request waits, so the model is
// never loaded and retries are refused as well.
// Rule: at the one target that the retry goes to, a refusal counts as demand until its retry time.

const (
	// retryGrace is how long after its retry time a retry is still expected.
	retryGrace = time.Second
	// minStoreRetries is how many expected retries justify a load from the weight store, which
	// serves few loads at a time.
	minStoreRetries = 3
	// maxRetriesPerModel bounds the memory for expected retries.
	maxRetriesPerModel = 64
)

// retry is an expected retry of a refused caller.
type retry struct {
	value float64
	until time.Time
}

// expectRetry records that a refused caller will retry once the model can be ready. It reports
// whether the model will be loaded for the retry.
func (s *Scheduler) expectRetry(w Waiter, ready time.Duration, now time.Time) bool {
	if len(s.retries[w.Model]) < maxRetriesPerModel {
		s.retries[w.Model] = append(s.retries[w.Model], retry{w.Value, now.Add(ready + retryGrace)})
	}
	return s.retriesJustifyLoad(w.Model)
}

// retriesJustifyLoad reports whether enough retries are expected for a model to load it.
func (s *Scheduler) retriesJustifyLoad(model string) bool {
	least := 1
	if s.fromStore(model) {
		least = minStoreRetries
	}
	return len(s.retries[model]) >= least
}

// expireRetries removes the expected retries for models that are held, and those whose time has
// passed.
func (s *Scheduler) expireRetries(now time.Time) {
	for model, list := range s.retries {
		list = slices.DeleteFunc(list, func(r retry) bool { return now.After(r.until) })
		s.retries[model] = list
		if _, held := s.report.Models[model]; held || len(list) == 0 {
			delete(s.retries, model)
		}
	}
}

// retryValue is the total value of the retries expected for a model, 0 if they do not justify a load.
func (s *Scheduler) retryValue(model string) float64 {
	if !s.retriesJustifyLoad(model) {
		return 0
	}
	sum := 0.0
	for _, r := range s.retries[model] {
		sum += r.value
	}
	return sum
}
