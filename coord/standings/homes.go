package standings

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Load pattern: many entry hosts get requests for rare models at the same time. Some
// targets have copies near, in memory or on disk; some are loading already, with more
// models waiting behind.
//
// If each host chose a target of its own, several would load the same model, and each
// load drops what others use. If all went by who has a copy near, one target loaded seven
// models one after the other while others loaded nothing, and the last caller waited ten
// seconds for a model that had a target latency of three.
//
// So a model's home is the target that would hold it first: the load under way there, the
// models that wait before it, and its own load by where its copy is. All hosts come to the
// same order from the same reports: the forecasts are compared in steps, and within one by
// a hash of model and target (rendezvous hashing), so that a target which comes or goes
// moves only its own models.

// Asked is a model that is not held where it is asked for, and how long its load takes.
type Asked struct {
	Model     string
	FromStore time.Duration
	FromDisk  time.Duration
}

const (
	// homeStep is the step in which forecasts are compared: hosts that have read reports
	// of different age still agree on most homes.
	homeStep = 500 * time.Millisecond
	// pressedWait is added for a target that has more work than it runs at once: what
	// makes way there is unloaded only once its requests have ended.
	pressedWait = time.Second
)

// Homes orders the targets that could load a model, the one that would hold it first in
// front.
func Homes(list []Standing, a Asked) []Standing {
	out := slices.Clone(list)
	slices.SortFunc(out, func(x, y Standing) int {
		return cmp.Or(
			cmp.Compare(a.forecast(x)/homeStep, a.forecast(y)/homeStep),
			cmp.Compare(weight(y.Address, a.Model), weight(x.Address, a.Model)),
		)
	})
	return out
}

// forecast is how long it takes until a target would hold the model.
func (a Asked) forecast(s Standing) time.Duration {
	if s.Loading == a.Model {
		return 0 // no other target would be sooner by enough to load it twice
	}
	wait := s.LoadWait
	if slices.Contains(s.Awaited, a.Model) {
		return wait // its load is counted in it
	}
	if s.Pressed() {
		wait += pressedWait
	}
	if slices.Contains(s.AtHand, a.Model) {
		return wait + a.FromDisk
	}
	return wait + a.FromStore
}

func weight(address, model string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(address))
	x := h.Sum64()
	// FNV's high bits hardly change with the last bytes: spread them.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
