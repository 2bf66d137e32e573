package state

import (
	"slices"
	"strings"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// Roles of a host that follows the view.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// hosts is the aggregate of entry hosts and agents' hosts. An incarnation is one
// start of a process. A process that was replaced by a newer one on the same host
// (frozen, cut off, or started twice) could otherwise register again and take the
// host's place back; its incarnation is remembered and refused.
//
// A host may run both roles, in one process or two: each has its own row.
//
// A host that is forgotten leaves its incarnations behind. Should it come back under
// a new one, the earlier ones are known: they are refused, and whoever asks whether
// this is the first run on that host is not told so.
type hosts struct {
	rows      map[string]*coordpb.Host
	forgotten []*coordpb.Host // oldest first, each id once
}

// HostID names the row of one role on a host, in tombstones and tables.
func HostID(host, role string) string {
	return host + "/" + role
}

// ofHost returns the ids of a host's rows, in order.
func (h *hosts) ofHost(name string) []string {
	var ids []string
	for _, role := range []string{RoleAgent, RoleEntry} {
		if _, ok := h.rows[HostID(name, role)]; ok {
			ids = append(ids, HostID(name, role))
		}
	}
	return ids
}

func newHosts() hosts {
	return hosts{rows: map[string]*coordpb.Host{}}
}

// register notes a host as its process describes it. restarted reports a new
// incarnation.
func (h *hosts) register(m *coordpb.RegisterHost, at step) (row *coordpb.Host, changed, restarted bool, err error) {
	if err := checkRegistration(m); err != nil {
		return nil, false, false, err
	}
	id := HostID(m.Host, m.Role)
	old, known := h.rows[id]
	past := h.past(id, m.Incarnation)
	if !known && len(h.rows) >= MaxHosts {
		return nil, false, false, fault.New(fault.Overloaded, "%d hosts are known, no more are allowed", MaxHosts)
	}
	if slices.Contains(past, m.Incarnation) {
		return old, false, false, fault.New(fault.Fenced, "host %q was restarted since incarnation %q", m.Host, m.Incarnation)
	}
	if known && sameRegistration(old, m) {
		return old, false, false, nil
	}
	restarted = !known || old.Incarnation != m.Incarnation
	row = &coordpb.Host{
		Host: m.Host, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain,
		Role: m.Role, Address: m.Address, Target: m.Target, Revision: at.revision,
	}
	row.PastIncarnations = past
	row.Leaving = old.GetLeaving()
	h.remember(id, nil)
	h.rows[id] = row
	return row, true, restarted, nil
}

func checkRegistration(m *coordpb.RegisterHost) error {
	if err := checkName("host", m.Host); err != nil {
		return err
	}
	if strings.Contains(m.Host, "/") {
		return fault.New(fault.InvalidRequest, "host %q: a name without '/' is needed", m.Host)
	}
	if err := checkName("incarnation", m.Incarnation); err != nil {
		return err
	}
	if m.Role != RoleEntry && m.Role != RoleAgent {
		return fault.New(fault.InvalidRequest, "role %q: %s or %s are allowed", m.Role, RoleEntry, RoleAgent)
	}
	if m.Role == RoleAgent {
		return checkName("target", m.Target)
	}
	return nil
}

func sameRegistration(h *coordpb.Host, m *coordpb.RegisterHost) bool {
	return h.Incarnation == m.Incarnation && h.FailureDomain == m.FailureDomain &&
		h.Role == m.Role && h.Address == m.Address && h.Target == m.Target
}

// drain marks all roles of a host as leaving or not; it returns one of the rows.
func (h *hosts) drain(m *coordpb.DrainHost, at step) (row *coordpb.Host, changed bool, err error) {
	ids := h.ofHost(m.Host)
	if len(ids) == 0 {
		return nil, false, fault.New(fault.NotFound, "no host is named %q", m.Host)
	}
	for _, id := range ids {
		if h.rows[id].Leaving == m.Leaving {
			continue
		}
		changed = true
		row := edit(h.rows[id])
		row.Leaving = m.Leaving
		row.Revision = at.revision
		h.rows[id] = row
	}
	return h.rows[ids[0]], changed, nil
}

// forget removes all roles of a host and returns their rows.
func (h *hosts) forget(m *coordpb.ForgetHost) ([]*coordpb.Host, error) {
	var gone []*coordpb.Host
	for _, id := range h.ofHost(m.Host) {
		gone = append(gone, h.rows[id])
		h.remember(id, h.rows[id])
		delete(h.rows, id)
	}
	if len(gone) == 0 {
		return nil, fault.New(fault.NotFound, "no host is named %q", m.Host)
	}
	return gone, nil
}

// leaving reports whether the host beside a target leaves.
func (h *hosts) leaving(target string) bool {
	for _, row := range h.rows { // any order: one match decides
		if row.Role == RoleAgent && row.Target == target && row.Leaving {
			return true
		}
	}
	return false
}

// serves reports whether some host has the agent of a target. After an agent
// moved to a host of another name, forgetting the old one must not take away the
// replicas that the new one answers for.
func (h *hosts) serves(target string) bool {
	for _, row := range h.rows { // any order: one match decides
		if row.Role == RoleAgent && row.Target == target {
			return true
		}
	}
	return false
}

// answersFor refuses a confirmation of an agent that was superseded. A frozen
// agent that wakes up would otherwise tell what its engine held before a newer
// incarnation, or the same engine's restart, changed it.
func (h *hosts) answersFor(m *coordpb.ConfirmReplica) error {
	if m.Host == "" {
		return nil
	}
	row := h.rows[HostID(m.Host, RoleAgent)]
	if row == nil || row.Incarnation != m.Incarnation || row.Target != m.Target {
		return fault.New(fault.Fenced, "host %q, incarnation %q, does not answer for target %q", m.Host, m.Incarnation, m.Target)
	}
	return nil
}
