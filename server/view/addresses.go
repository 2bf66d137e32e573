package view

import "slices"

// Addresses returns the control processes that are known: those of the settings
// and those that control told of. The caller owns the slice.
func (f *Follower) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.addresses)
}
