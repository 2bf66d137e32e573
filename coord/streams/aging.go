package streams

import "time"

// agingMap is a map whose entries are dropped between one and two lifetimes after they were set, or
// earlier if there are more than maxEntries in one lifetime.
type agingMap[K comparable, V any] struct {
	recent, older map[K]V
	rotatedAt     time.Time
	lifetime      time.Duration
	maxEntries    int
}

func newAgingMap[K comparable, V any](lifetime time.Duration, maxEntries int, now time.Time) agingMap[K, V] {
	return agingMap[K, V]{recent: map[K]V{}, older: map[K]V{}, rotatedAt: now, lifetime: lifetime, maxEntries: maxEntries}
}

func (m *agingMap[K, V]) set(key K, value V, now time.Time) {
	m.rotate(now)
	m.recent[key] = value
}

func (m *agingMap[K, V]) get(key K, now time.Time) (V, bool) {
	m.rotate(now)
	if v, ok := m.recent[key]; ok {
		return v, true
	}
	v, ok := m.older[key]
	return v, ok
}

func (m *agingMap[K, V]) rotate(now time.Time) {
	age := now.Sub(m.rotatedAt)
	if age < m.lifetime && len(m.recent) < m.maxEntries {
		return
	}
	m.older, m.recent, m.rotatedAt = m.recent, map[K]V{}, now
	if age >= 2*m.lifetime {
		m.older = map[K]V{}
	}
}
