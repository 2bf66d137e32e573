package control

import (
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/state"
)

// polledWithin is how long ago a process that follows here has polled at the most: one
// poll's wait, and what its way and an answer to another control process take.
const polledWithin = 2 * time.Second

// Unfollowing returns the internal addresses of the registered processes that have not
// polled here lately. They follow another control process, or none.
func (c *Role) Unfollowing() []string {
	var hosts []*coordpb.Host
	c.machine.Read(func(s *state.State) { hosts = s.Hosts() })
	polled := c.polledLately()
	var out []string
	for _, h := range hosts {
		if h.Address != "" && !polled[subscriberID(h.Host, h.Role, h.Incarnation)] {
			out = append(out, h.Address)
		}
	}
	return out
}

func (c *Role) polledLately() map[string]bool {
	now := c.now()
	polled := map[string]bool{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.subscribers.List() {
		if now.Sub(s.Seen) < polledWithin {
			polled[subscriberID(s.ID.Host, s.ID.Role, s.ID.Incarnation)] = true
		}
	}
	return polled
}
