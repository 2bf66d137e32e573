package control

import (
	"context"
	"slices"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/fleet"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/rpc"
)

// longestPoll bounds a poll to a share of the lease, so that a follower hears from
// control several times in a lease even when nothing changes.
const longestPoll = 4

// Sync implements rpc.Control.
func (c *Role) Sync(ctx context.Context, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	received := c.now()
	resp, err := c.sync(ctx, req, received)
	return resp, rpc.ToTwirp(err)
}

func (c *Role) sync(ctx context.Context, req *rpc.SyncRequest, received time.Time) (*rpc.SyncResponse, error) {
	id, err := c.admit(req.Caller)
	if err != nil {
		return nil, err
	}
	c.noteSeen(id, req, received)
	if err := c.upToDate(ctx, req.Since); err != nil {
		return nil, err
	}
	c.awaitChange(ctx, req)
	if err := c.current(); err != nil {
		return nil, err
	}
	return c.answer(id, req, received), nil
}

// admit refuses callers that a newer start of the same process superseded, and
// registers those that are new.
func (c *Role) admit(caller *rpc.Caller) (fleet.SubscriberID, error) {
	if caller == nil || caller.Host == "" || caller.Incarnation == "" {
		return fleet.SubscriberID{}, fault.New(fault.InvalidRequest, "the caller does not say who it is")
	}
	if c.stopping.Load() {
		return fleet.SubscriberID{}, fault.New(fault.Leaving, "this control process is shutting down")
	}
	id := fleet.SubscriberID{Host: caller.Host, Role: caller.Role, Incarnation: caller.Incarnation}
	if c.superseded(caller) {
		return id, fault.New(fault.Fenced, "host %q was restarted since incarnation %q", caller.Host, caller.Incarnation)
	}
	if !c.registered(caller) {
		c.registerSoon(caller)
	}
	return id, nil
}

func (c *Role) superseded(caller *rpc.Caller) (old bool) {
	c.machine.Read(func(s *state.State) {
		row := s.Host(caller.Host, caller.Role)
		old = row != nil && slices.Contains(row.PastIncarnations, caller.Incarnation)
	})
	return old
}

func (c *Role) registered(caller *rpc.Caller) (known bool) {
	c.machine.Read(func(s *state.State) {
		row := s.Host(caller.Host, caller.Role)
		known = row != nil && row.Incarnation == caller.Incarnation && row.Address == caller.Address &&
			row.Target == caller.Target && row.FailureDomain == caller.FailureDomain
	})
	return known
}

// registerSoon registers a host in the background; polls that come meanwhile do
// not do it again.
func (c *Role) registerSoon(caller *rpc.Caller) {
	id := state.HostID(caller.Host, caller.Role)
	c.mu.Lock()
	running := c.registering[id]
	c.registering[id] = true
	c.mu.Unlock()
	if running {
		return
	}
	c.run(func(ctx context.Context) {
		if err := c.register(ctx, caller); err != nil {
			c.logger.Warn("host not registered", "host", caller.Host, "error", err)
		}
		c.mu.Lock()
		delete(c.registering, id)
		c.mu.Unlock()
	})
}

func (c *Role) register(ctx context.Context, caller *rpc.Caller) error {
	_, err := c.commit(ctx, &coordpb.Command{Actor: caller.Host, Change: &coordpb.Command_RegisterHost{
		RegisterHost: &coordpb.RegisterHost{
			Host: caller.Host, Incarnation: caller.Incarnation, FailureDomain: caller.FailureDomain,
			Role: caller.Role, Address: caller.Address, Target: caller.Target,
		}}})
	return err
}

func (c *Role) noteSeen(id fleet.SubscriberID, req *rpc.SyncRequest, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers.RecordPoll(id, req.Since, received)
	c.callers[id] = req.Caller
	if req.Report != nil {
		c.reports[id] = report{caller: req.Caller, report: req.Report, at: received}
	}
}

// upToDate makes sure that a caller which holds nothing, or more than this process
// does, is answered behind a barrier of its own. A process that restarted has
// forgotten which revision it had applied; a barrier that began after its poll
// came covers every revision that any process could have applied before.
func (c *Role) upToDate(ctx context.Context, since uint64) error {
	revision, _ := c.machine.Revision()
	if since != 0 && since <= revision {
		return nil
	}
	return c.barrier(ctx)
}

// awaitChange returns when the view is newer than the caller's, another process leads,
// the wait is over, or this process stops. Told of the leader only at the end of its
// wait, a caller would go on asking the former one.
func (c *Role) awaitChange(ctx context.Context, req *rpc.SyncRequest) {
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, c.freshness/longestPoll)
	timeout := c.after(wait)
	leader := c.log.Status().LeaderAddress
	for {
		led := c.log.LeaderChanged()
		if now := c.log.Status().LeaderAddress; now != "" && now != leader {
			return
		}
		revision, changed := c.machine.Revision()
		if revision > req.Since {
			return
		}
		select {
		case <-changed:
		case <-led:
		case <-timeout:
			return
		case <-c.draining:
			return
		case <-ctx.Done():
			return
		}
	}
}

// answer grants the lease and reads the view, in this order. inForce reads the
// applied revision first and the leases afterwards: a lease that it does not see
// was granted later, and the view that goes with it was read later still, so that
// it holds the revision. The other way round, a lease on an older view could be
// noted just after it was found that none is left.
func (c *Role) answer(id fleet.SubscriberID, req *rpc.SyncRequest, received time.Time) *rpc.SyncResponse {
	tell, until := c.leaseFor(received, c.reads.last())
	c.mu.Lock()
	c.subscribers.RecordLease(id, until)
	c.mu.Unlock()
	st := c.log.Status()
	return &rpc.SyncResponse{
		View:             c.machine.View(req.Since),
		FreshnessMs:      uint32(tell.Milliseconds()),
		ControlAddresses: addresses(st.Members),
		LeaderAddress:    st.LeaderAddress,
	}
}

func addresses(members []*coordpb.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Address)
	}
	slices.Sort(out)
	return out
}
