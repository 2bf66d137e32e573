package view

import (
	"maps"
	"slices"
	"time"
)

// suggestionTTL is how long a suggested address is tried unless it is suggested again.
// A dead address costs a full poll timeout in each pass over the addresses.
const suggestionTTL = 10 * time.Second

// suggestions maps the addresses of control processes that were learned from a source
// other than control to the time at which each expires.
type suggestions map[string]time.Time

// Addresses returns the addresses of all known control processes: those of the settings,
// those that control reported, and the suggested ones that have not expired. The caller
// owns the slice.
func (f *Follower) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.allAddresses()
}

// Confirmed returns the addresses of the control processes that control itself reported,
// and those of the settings. The caller owns the slice.
func (f *Follower) Confirmed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.addresses)
}

// allAddresses returns all known addresses and drops expired suggestions. The caller
// holds mu.
func (f *Follower) allAddresses() []string {
	now := f.options.Now()
	maps.DeleteFunc(f.suggested, func(_ string, until time.Time) bool { return !now.Before(until) })
	return append(slices.Clone(f.addresses), slices.Sorted(maps.Keys(f.suggested))...)
}

// Suggest adds addresses of control processes that were learned from another source. They
// are used until they expire or the next response of control lists the current members.
func (f *Follower) Suggest(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addSuggested(addresses)
}

// Prefer adds addresses of control processes and polls address next, because it is known
// to answer.
func (f *Follower) Prefer(address string, others []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addSuggested(append(slices.Clone(others), address))
	f.preferred = address
}

// addSuggested records addresses that are not confirmed yet. The caller holds mu.
func (f *Follower) addSuggested(addresses []string) {
	until := f.options.Now().Add(suggestionTTL)
	for _, a := range addresses {
		if !slices.Contains(f.addresses, a) {
			f.suggested[a] = until
		}
	}
}
