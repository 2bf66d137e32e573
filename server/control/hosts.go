package control

import (
	"context"
	"maps"
	"slices"
	"strconv"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/rpc"
)

func memberName(id uint64) string { return "member " + strconv.FormatUint(id, 10) }

// Hosts implements operators.Service.
func (s *operatorsService) Hosts(ctx context.Context, _ *operators.HostsPayload) (*operators.HostList, error) {
	if err := s.upToDate(ctx); err != nil {
		return nil, err
	}
	seen := s.seen(ctx)
	list := &operators.HostList{Hosts: []*operators.HostInfo{}}
	s.role.machine.Read(func(st *state.State) {
		for _, h := range st.Hosts() {
			list.Hosts = append(list.Hosts, hostInfo(h, seen))
		}
	})
	return list, nil
}

// FailureDomains returns the failure domains of the registered processes by their internal
// address.
func (c *Role) FailureDomains() map[string]string {
	out := map[string]string{}
	c.machine.Read(func(s *state.State) {
		for _, h := range s.Hosts() {
			out[h.Address] = h.FailureDomain
		}
	})
	return out
}

func hostInfo(h *coordpb.Host, seen map[string]*rpc.Subscriber) *operators.HostInfo {
	info := &operators.HostInfo{
		Host: h.Host, Role: h.Role, FailureDomain: h.FailureDomain, Address: h.Address, Leaving: h.Leaving,
	}
	if h.Target != "" {
		info.Target = &h.Target
	}
	if sub, ok := seen[subscriberID(h.Host, h.Role, h.Incarnation)]; ok {
		ago := int64(sub.SeenMsAgo)
		info.Live, info.SeenMsAgo = sub.Live, &ago
	}
	return info
}

func subscriberID(host, role, incarnation string) string {
	return state.HostID(host, role) + "/" + incarnation
}

// seen gathers the followers that the reachable control processes know of.
func (s *operatorsService) seen(ctx context.Context) map[string]*rpc.Subscriber {
	all := map[string]*rpc.Subscriber{}
	for _, answer := range s.role.askMembers(ctx) {
		for _, sub := range answer.GetSubscribers() {
			id := subscriberID(sub.Caller.Host, sub.Caller.Role, sub.Caller.Incarnation)
			all[id] = newer(all[id], sub)
		}
	}
	return all
}

// newer joins what two control processes know of one follower.
func newer(a, b *rpc.Subscriber) *rpc.Subscriber {
	if a == nil {
		return b
	}
	return &rpc.Subscriber{
		Caller: b.Caller, Revision: max(a.Revision, b.Revision),
		SeenMsAgo: min(a.SeenMsAgo, b.SeenMsAgo), Live: a.Live || b.Live,
	}
}

// inForce lists which revision each live follower acknowledged.
func (s *operatorsService) inForce(ctx context.Context) []*operators.InForce {
	seen := s.seen(ctx)
	out := []*operators.InForce{}
	for _, id := range slices.Sorted(maps.Keys(seen)) {
		sub := seen[id]
		if !sub.Live {
			continue
		}
		row := &operators.InForce{
			Host: sub.Caller.Host, Role: sub.Caller.Role, Revision: sub.Revision, SeenMsAgo: int64(sub.SeenMsAgo),
		}
		s.role.machine.Read(func(st *state.State) { row.ConfigurationRevision = st.ConfigurationAt(sub.Revision) })
		out = append(out, row)
	}
	return out
}
