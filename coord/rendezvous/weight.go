// Package rendezvous implements rendezvous hashing: each key ranks all members by a weight, and all
// hosts derive the same order. A member that joins or leaves changes the order of its own keys only.
package rendezvous

import "hash/fnv"

// Weight returns the weight of a member for a key. The member with the greatest weight comes first.
func Weight(member, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	x := h.Sum64()
	// FNV's high bits hardly depend on the last bytes; mix them.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
