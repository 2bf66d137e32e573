package inbound

import "net/http"

// IdleReaders returns how many idle connections' servers wait for bytes.
func (s *Set) IdleReaders() int {
	return s.readers(func(state http.ConnState) bool { return state == http.StateIdle })
}

// Readers is IdleReaders, of connections in any state.
func (s *Set) Readers() int { return s.readers(func(http.ConnState) bool { return true }) }

func (s *Set) readers(counts func(http.ConnState) bool) (n int) {
	for _, c := range s.all() {
		c.mu.Lock()
		if c.waiting && counts(c.state) {
			n++
		}
		c.mu.Unlock()
	}
	return n
}
