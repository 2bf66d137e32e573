package inbound

import "net/http"

// IdleReaders returns how many idle connections' servers wait for bytes.
func (s *Set) IdleReaders() (n int) {
	for _, c := range s.all() {
		c.mu.Lock()
		if c.reading && c.state == http.StateIdle {
			n++
		}
		c.mu.Unlock()
	}
	return n
}
