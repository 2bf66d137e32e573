package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cowsliptiller/coord/fleet"
	"cowsliptiller/server/rpc"
)

// inForcePoll is how often the other control processes are asked whether a change
// is in force: the wait that it adds is small against a person's patience, and the
// calls are few.
const inForcePoll = 50 * time.Millisecond

// Subscribers implements rpc.Control. The applied revision is read before the
// leases; see answer.
func (c *Role) Subscribers(context.Context, *rpc.SubscribersRequest) (*rpc.SubscribersResponse, error) {
	revision, _ := c.machine.Revision()
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := &rpc.SubscribersResponse{
		Revision: revision, Settled: c.subscribers.Settled(now), UptimeMs: uint64(now.Sub(c.started).Milliseconds()),
	}
	for _, s := range c.subscribers.List() {
		resp.Subscribers = append(resp.Subscribers, &rpc.Subscriber{
			Caller: c.callerOf(s.ID), Revision: s.Acknowledged,
			SeenMsAgo: uint32(now.Sub(s.LastPoll).Milliseconds()), Live: s.LeaseValid(now),
		})
	}
	return resp, nil
}

// callerOf returns what a subscriber last said of itself. The caller holds mu.
func (c *Role) callerOf(id fleet.SubscriberID) *rpc.Caller {
	if caller, ok := c.callers[id]; ok {
		return caller
	}
	return &rpc.Caller{Host: id.Host, Role: id.Role, Incarnation: id.Incarnation}
}

// awaitInForce returns once no process can act on a view older than revision,
// which is committed when it is called: each control process said that all its
// leases have acknowledged the revision or lapsed, or one whole lease has passed.
//
// The second holds without anybody's word: a lease whose view lacks the revision
// was given behind a barrier that began before the commit, and ends one lease
// after that barrier. So neither a cut-off follower, nor a cut-off or restarted
// control process, nor a change of leader can delay or falsify it.
func (c *Role) awaitInForce(ctx context.Context, revision uint64) error {
	lapsed := c.after(c.freshness)
	for !c.inForce(ctx, revision) {
		select {
		case <-lapsed:
			return nil
		case <-c.after(inForcePoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (c *Role) inForce(ctx context.Context, revision uint64) bool {
	answers := c.askMembers(ctx)
	for _, a := range answers {
		if a == nil || !a.Settled || a.Revision < revision || !acknowledged(a, revision) {
			return false
		}
	}
	return len(answers) > 0
}

func acknowledged(a *rpc.SubscribersResponse, revision uint64) bool {
	for _, s := range a.Subscribers {
		if s.Live && s.Revision < revision {
			return false
		}
	}
	return true
}

// askMembers asks every control process, present or lately removed, for its
// subscribers. The answer of one that cannot be reached is nil.
func (c *Role) askMembers(ctx context.Context) []*rpc.SubscribersResponse {
	ctx, cancel := context.WithTimeout(ctx, c.freshness/oldestBarrier)
	defer cancel()
	members := c.grantors()
	out := make([]*rpc.SubscribersResponse, len(members))
	var wg sync.WaitGroup
	for i, address := range members {
		wg.Go(func() { out[i] = c.askMember(ctx, address) })
	}
	wg.Wait()
	return out
}

func (c *Role) askMember(ctx context.Context, address string) *rpc.SubscribersResponse {
	if address == c.address() {
		resp, _ := c.Subscribers(ctx, nil)
		return resp
	}
	resp, err := c.clients.At(address).Subscribers(ctx, &rpc.SubscribersRequest{})
	if err != nil {
		return nil
	}
	return resp
}

// grantors returns the addresses of all processes that may have granted a lease
// that still holds: the members, and those that were members within two leases.
func (c *Role) grantors() []string {
	c.noteMembers()
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.seenMembers))
}

// noteMembers remembers when each member's address was last one.
func (c *Role) noteMembers() {
	members := c.log.Status().Members
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range members {
		c.seenMembers[m.Address] = now
	}
	for _, address := range slices.Sorted(maps.Keys(c.seenMembers)) {
		if now.Sub(c.seenMembers[address]) > 2*c.freshness {
			delete(c.seenMembers, address)
		}
	}
}

// address is where the other members reach this process.
func (c *Role) address() string {
	st := c.log.Status()
	for _, m := range st.Members {
		if m.Id == st.ID {
			return m.Address
		}
	}
	return c.settings.Common.Advertised()
}
