package control

import (
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/state"
)

// polledWithin is the longest time between two polls of a follower: one poll's wait, and
// the time of its answer.
const polledWithin = 2 * time.Second

// Unfollowing returns the internal addresses of registered processes that do not poll this
// one: at the leader all of them, at other members those that polled here before and have
// not registered anew since. They follow another control process, or none.
func (c *Role) Unfollowing() []string {
	var hosts []*coordpb.Host
	c.machine.Read(func(s *state.State) { hosts = s.Hosts() })
	leading := c.log.Status().Leading
	polls := c.polls()
	var out []string
	for _, h := range hosts {
		polling, known := polls[subscriberID(h.Host, h.Role, h.Incarnation)]
		if h.Address != "" && !polling && (leading || known) {
			out = append(out, h.Address)
		}
	}
	return out
}

// polls returns the followers that have polled here, and whether each did lately.
func (c *Role) polls() map[string]bool {
	now := c.now()
	out := map[string]bool{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.subscribers.List() {
		out[subscriberID(s.ID.Host, s.ID.Role, s.ID.Incarnation)] = now.Sub(s.LastPoll) < polledWithin
	}
	return out
}
