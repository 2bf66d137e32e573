package view

import (
	"maps"
	"slices"
	"time"
)

// suggestionLifetime is how long an address that was suggested is tried without being
// suggested again. A dead one costs a whole poll's time in each turn.
const suggestionLifetime = 10 * time.Second

// suggestions are control processes learned elsewhere than from control, with the time
// until which each is tried.
type suggestions map[string]time.Time

// Addresses returns the control processes that are known: those of the settings, those
// that control told of, and those suggested lately. The caller owns the slice.
func (f *Follower) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known()
}

// Confirmed returns the control processes that control itself told of, and those of the
// settings. The caller owns the slice.
func (f *Follower) Confirmed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.addresses)
}

// known returns all addresses. The caller holds mu.
func (f *Follower) known() []string {
	now := f.o.Now()
	maps.DeleteFunc(f.suggested, func(_ string, until time.Time) bool { return !now.Before(until) })
	return append(slices.Clone(f.addresses), slices.Sorted(maps.Keys(f.suggested))...)
}

// Suggest adds control processes that were learned elsewhere, until the next answer
// of control tells the present ones.
func (f *Follower) Suggest(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suggest(addresses)
}

// Prefer adds control processes, and has one of them asked next: it is known to answer.
func (f *Follower) Prefer(address string, others []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suggest(append(slices.Clone(others), address))
	f.preferred = address
}

// suggest notes addresses. The caller holds mu.
func (f *Follower) suggest(addresses []string) {
	until := f.o.Now().Add(suggestionLifetime)
	for _, a := range addresses {
		if !slices.Contains(f.addresses, a) {
			f.suggested[a] = until
		}
	}
}
