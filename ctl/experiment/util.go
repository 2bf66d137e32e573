package experiment

import (
	"hash/fnv"
	"slices"
)

func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// recent keeps the entries used last.
type recent struct {
	limit int
	keys  []uint64 // most recent last
}

// use reports whether the key was kept, and makes it the most recent.
func (c *recent) use(key uint64) bool {
	at := slices.Index(c.keys, key)
	if at >= 0 {
		c.keys = append(slices.Delete(c.keys, at, at+1), key)
		return true
	}
	if len(c.keys) == c.limit {
		c.keys = slices.Delete(c.keys, 0, 1)
	}
	c.keys = append(c.keys, key)
	return false
}
